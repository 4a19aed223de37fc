package manifest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

func example(t testing.TB, site string) []byte {
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", site, "site.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestExamplesParse(t *testing.T) {
	for _, name := range []string{"port-klang", "kapljica"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			site, problems := Parse("site.ini", example(t, name))
			is.Equal(problems, nil)
			is.Equal(site.Name, name)
			is.Equal(len(site.Services), 5)
		})
	}
}

// Changes one line of the example in each case and expects a problem at the right
// section and key. It fails when a rule is not checked, or when the checks end at
// the first problem, so that an operator could mend only one mistake per run.
func TestProblemsNamePlaceAndAllowedValues(t *testing.T) {
	cases := []struct{ from, to, section, key, message string }{
		{"revision = 1", "revision = one", "site", "revision", "whole number"},
		{"revision = 1", "revision = 0", "site", "revision", "from 1"},
		{"revision = 1", "revision = 1\nowner = me", "site", "owner", "not a known key"},
		{"[policy]", "[polices]", "polices", "", "not a known section"},
		{"move_weight = 0.9", "move_weight = NaN", "policy", "move_weight", "from 0 to 1"},
		{"[team planners]", "[team masters]", "team masters", "", "twice"},
		{"[team planners]", "[team  masters]", "team masters", "", "second time"},
		{"max_requests = 400", "max_requests = 400\nmax_requests = 400", "team planners", "max_requests", "twice"},
		{"timeout = 60s", "timeout = 60", "service stowage-drafts", "timeout", "unit"},
		{"memory = 128GB", "memory = 128", "pool berths", "memory", "unit"},
		{"processors = 32", "processors = 32 cores", "pool berths", "processors", "1500m"},
		{"min_available = 6", "min_available = 11", "service stowage-drafts", "min_available", "at most instances, which is 10"},
		{"min_available = 6", "min_available = 10", "service stowage-drafts", "min_available", "10 - 1 = 9 available"},
		{"min_available = 6", "min_available = 6\nmax_unavailable = 4", "service stowage-drafts", "max_unavailable", "one of the two"},
		{"min_available = 6", "slots = 8", "service stowage-drafts", "min_available", "is missing"},
		{"processors = 8", "processors = 64", "service stowage-drafts", "processors", "at most what a VM of pool berths offers, which is 32"},
		{"max_vms = 28", "max_vms = 4", "pool berths", "min_vms", "at most max_vms"},
		{"max_vms = 28", "max_vms = 4", "pool berths", "max_vms", "128 cores"},
		{"instances = 10", "instances = 200", "service stowage-drafts", "instances", "at most 112"},
		{"pool = berths", "pool = berth", "service stowage-drafts", "pool", "[pool NAME]"},
		{"pools = berths,", "pools = berth,", "wave january", "pools", `holds "berth"`},
		{"start = 2030-01-06T12:00:00Z", "start = tomorrow", "wave january", "start", "RFC 3339"},
		{"POST /drafts,", "SEND /drafts,", "service stowage-drafts", "non_idempotent_routes", "METHOD"},
		{"POST /drafts/preview", "POST /drafts", "service stowage-drafts", "non_idempotent_routes", "which idempotent_routes holds too"},
		{"22:00-02:00", "22-02", "pool berths", "busy", "HH:MM-HH:MM"},
		{"priority = urgent", "priority = high", "service stowage-drafts", "priority", "urgent, normal, batch"},
		{"[pool berths]", "[pool Berths]", "pool Berths", "", "lower-case"},
		{"name = port-klang", "", "site", "name", "is missing"},
		{"[site]", "[site", "", "", "not an INI file"},
	}
	text := string(example(t, "port-klang"))
	for _, c := range cases {
		t.Run(c.to, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(text, c.from)) // otherwise the case would change nothing
			site, problems := Parse("site.ini", []byte(strings.Replace(text, c.from, c.to, 1)))
			is.True(site == nil)
			found := slices.ContainsFunc(problems, func(p Problem) bool {
				section := strings.Join(strings.Fields(p.Section), " ")
				return p.File == "site.ini" && section == c.section && p.Key == c.key && strings.Contains(p.Message, c.message)
			})
			if !found {
				t.Errorf("no problem at [%s] %s with %q in %v", c.section, c.key, c.message, problems)
			}
		})
	}
}

func TestAllProblemsInOneAnswer(t *testing.T) {
	is := is.New(t)
	text := string(example(t, "kapljica"))
	text = strings.Replace(text, "revision = 1", "revision = x", 1)
	text = strings.Replace(text, "max_parallel = 8", "max_parallel = many", 1)
	text = strings.Replace(text, "timeout = 2m", "timeout = 2", 1)
	_, problems := Parse("site.ini", []byte(text))
	is.Equal(len(problems), 3)
}

// The longest matching prefix applies, independent of the order in the file.
func TestRoutesAreOrdered(t *testing.T) {
	is := is.New(t)
	site, _ := Parse("site.ini", example(t, "port-klang"))
	drafts := site.Services[slices.IndexFunc(site.Services, func(s model.Service) bool { return s.ID == "stowage-drafts" })]
	is.Equal(drafts.Routes[0].Prefix, "/drafts/preview")
	is.True(drafts.Routes[0].Idempotent)
}

// Any text results in either a site or problems that name the file.
func FuzzParse(f *testing.F) {
	f.Add(example(f, "port-klang"))
	f.Add([]byte("[site]\nname = x\nrevision = 1\n[pool a]\nmin_vms=1"))
	f.Add([]byte("[wave w]\npools = a,,b\n%(x)s = \"\"\"\n\\"))
	f.Fuzz(func(t *testing.T, text []byte) {
		site, problems := Parse("f", text)
		if (site == nil) != (len(problems) > 0) {
			t.Fatalf("site %v with problems %v", site, problems)
		}
		for _, p := range problems {
			if p.File != "f" || p.Message == "" {
				t.Fatalf("problem %+v", p)
			}
		}
	})
}

// The operators' page must show the table of keys that the parser uses.
func TestPageShowsTheTable(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operations", "manifest.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Keys() {
		def := k.Default
		if k.Required() {
			def = "required"
		}
		row := fmt.Sprintf("| [%s] | %s | %s | %s | %s | %s |\n", k.Section, k.Name, k.Unit, def, k.Bounds(), k.Meaning)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/operations/manifest.md lacks the row\n%s", row)
		}
	}
}
