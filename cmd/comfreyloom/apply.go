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

// run validates the file before sending it, so that problems are reported under
// the file's own name and nothing is sent.
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
	response, err := k.do(context.Background(), http.MethodPut, k.path(), text, k.Wait)
	if err != nil {
		return k.reportError(c, err)
	}
	return k.report(c, response)
}

func (k *applyCommand) path() string {
	if k.Wait <= 0 {
		return "/manifest"
	}
	return "/manifest?" + url.Values{"wait": {k.Wait.String()}}.Encode()
}

func (k *applyCommand) reportError(c console, err error) exitCode {
	var failure *callError
	if errors.As(err, &failure) && failure.verdict == model.MayHaveRun {
		fmt.Fprintf(c.err, "comfreyloom apply: the outcome is unknown: %v\n"+
			"The manifest may come into force or not; running the same command again is safe and tells.\n", err)
		return exitUnknown
	}
	return reportReadError(c, "apply", err)
}

func (k *applyCommand) report(c console, response apiResponse) exitCode {
	var result operator.ManifestResponse
	if json.Unmarshal(response.body, &result) != nil || result.Outcome == "" {
		return reportFailure(c, "apply", response)
	}
	if response.status != http.StatusOK {
		fmt.Fprintf(c.err, "comfreyloom apply: %s: %s\n", result.Outcome, result.Message)
		return exitFailed
	}
	fmt.Fprintf(c.out, "%s: revision %d, digest %s, index %d\n", result.Outcome, result.Revision, result.Digest, result.Index)
	return k.reportInForce(c, result)
}

func (k *applyCommand) reportInForce(c console, result operator.ManifestResponse) exitCode {
	switch {
	case result.InForce == nil:
		return exitDone
	case *result.InForce:
		fmt.Fprintln(c.out, "in force at every VM")
		return exitDone
	default:
		fmt.Fprintf(c.err, "comfreyloom apply: accepted, but not yet in force at %v; they follow by themselves\n", result.Behind)
		return exitFailed
	}
}
