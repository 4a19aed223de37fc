package inifile

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A short text must not turn into a report many times as long; what it leaves out is counted.
func TestProblemsAreBounded(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 3 * MaxProblems {
		fmt.Fprintf(&text, "[unknown %d]\n", i)
	}
	problems := Load("site.ini", []byte(text.String())).Problems()
	is.Equal(len(problems), MaxProblems+1)
	is.Equal(problems[MaxProblems].Message, fmt.Sprintf("has %d problems more", 2*MaxProblems))
	f := Load("site.ini", []byte("[a]\nx = 1\ny = 2\n"))
	f.Section("a")
	is.Equal(len(f.Problems()), 2)
}
