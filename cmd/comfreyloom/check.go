package main

import (
	"fmt"
	"os"

	"github.com/comfreyloom/comfreyloom/internal/inifile"
	"github.com/comfreyloom/comfreyloom/internal/manifest"
	"github.com/comfreyloom/comfreyloom/internal/settings"
)

type checkCommand struct {
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings of one VM"`
	Manifest string `arg:"--manifest" placeholder:"FILE" help:"manifest of the site"`
}

func (k *checkCommand) run(c console) exitCode {
	if (k.Settings == "") == (k.Manifest == "") {
		fmt.Fprintln(c.err, "comfreyloom check: name either --settings FILE or --manifest FILE")
		return exitUsage
	}
	file := k.Settings + k.Manifest
	problems, err := k.problems()
	if err != nil {
		fmt.Fprintln(c.err, "comfreyloom check:", err)
		return exitUsage
	}
	if len(problems) > 0 {
		printProblems(c, problems)
		return exitUsage
	}
	fmt.Fprintf(c.out, "%s: valid\n", file)
	return exitDone
}

func (k *checkCommand) problems() ([]inifile.Problem, error) {
	if k.Settings != "" {
		_, problems, err := settings.Load(k.Settings)
		return problems, err
	}
	text, err := os.ReadFile(k.Manifest)
	if err != nil {
		return nil, err
	}
	_, problems := manifest.Parse(k.Manifest, text)
	return problems, nil
}

func printProblems(c console, problems []inifile.Problem) {
	for _, p := range problems {
		fmt.Fprintln(c.err, p)
	}
	fmt.Fprintf(c.err, "%d problems; nothing was changed\n", len(problems))
}
