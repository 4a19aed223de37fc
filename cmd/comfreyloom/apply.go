package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/manifest"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
)

type applyCommand struct {
	remote
	Wait     time.Duration `arg:"--wait" placeholder:"DURATION" help:"wait until the manifest is in force at every VM, such as 30s"`
	Manifest string        `arg:"positional,required" placeholder:"MANIFEST" help:"manifest file of the site"`
}

// run checks the file here first, so that a mistake is named with the file's
// own name and nothing is sent.
func (k *applyCommand) run(c console) exitCode {
	text, err := os.ReadFile(k.Manifest)
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom apply:", err)
		return exitUsage
	}
	if _, problems := manifest.Parse(k.Manifest, text); len(problems) > 0 {
		printProblems(c, problems)
		return exitUsage
	}
	answer, err := k.do(context.Background(), http.MethodPut, k.path(), text, k.Wait)
	if err != nil {
		return k.reportError(c, err)
	}
	return k.report(c, answer)
}

func (k *applyCommand) path() string {
	if k.Wait <= 0 {
		return "/manifest"
	}
	return "/manifest?" + url.Values{"wait": {k.Wait.String()}}.Encode()
}

func (k *applyCommand) reportError(c console, err error) exitCode {
	var call *callError
	if errors.As(err, &call) && call.verdict == model.MayHaveRun {
		fmt.Fprintf(c.err, "comfreyloom apply: the outcome is unknown: %v\n"+
			"The manifest may come into force or not; running the same command again is safe and tells.\n", err)
		return exitUnknown
	}
	return reportReadError(c, "apply", err)
}

func (k *applyCommand) report(c console, answer reply) exitCode {
	var decided operator.ManifestResponse
	if json.Unmarshal(answer.body, &decided) != nil || decided.Outcome == "" {
		return reportFailure(c, "apply", answer)
	}
	if answer.status != http.StatusOK {
		fmt.Fprintf(c.err, "comfreyloom apply: %s: %s\n", decided.Outcome, decided.Message)
		return exitFailed
	}
	fmt.Fprintf(c.out, "%s: revision %d, digest %s, index %d\n", decided.Outcome, decided.Revision, decided.Digest, decided.Index)
	return k.reportForce(c, decided)
}

func (k *applyCommand) reportForce(c console, decided operator.ManifestResponse) exitCode {
	switch {
	case decided.InForce == nil:
		return exitDone
	case *decided.InForce:
		fmt.Fprintln(c.out, "in force at every VM")
		return exitDone
	default:
		fmt.Fprintf(c.err, "comfreyloom apply: accepted, but not yet in force at %v; they follow by themselves\n", decided.Behind)
		return exitFailed
	}
}
