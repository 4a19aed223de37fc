package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A promise whose test was renamed or removed must not keep a name that proves
// nothing.
func TestGuaranteesNameTestsThatExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/GUARANTEES.md")
	is.NoErr(err)
	defined := testFunctions(t, "../..")
	named := regexp.MustCompile("`(?:[a-z]+\\.)?((?:Test|Benchmark|Fuzz)[A-Za-z0-9_]+)(\\*?)`").FindAllStringSubmatch(string(page), -1)
	is.True(len(named) > 100)
	for _, match := range named {
		name, pattern := match[1], match[2] != ""
		found := defined[name]
		for function := range defined {
			found = found || pattern && strings.HasPrefix(function, name)
		}
		if !found {
			t.Errorf("docs/GUARANTEES.md names %s, which no test file defines", match[0])
		}
	}
}

// testFunctions returns the names of the functions in all test files below a folder.
func testFunctions(t *testing.T, root string) map[string]bool {
	defined := map[string]bool{}
	function := regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)[A-Za-z0-9_]+)\(`)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range function.FindAllStringSubmatch(string(text), -1) {
			defined[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return defined
}
