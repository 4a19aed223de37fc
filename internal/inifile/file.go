// Package inifile reads INI files strictly. Reading does not stop at the first
// mistake: every problem is collected with its file, section and key, so that all
// of them are reported at once. A key that the program did not read is a problem
// too, so that a misspelt key can't silently leave the default in force.
//
//	f := inifile.Load("site.ini", text)
//	s := f.Section("site")
//	revision := s.Int("revision", inifile.Required, 1, 1<<53)
//	problems := f.Problems()
package inifile

import (
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one mistake in a file.
type Problem struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Message describes the mistake and the allowed values.
	Message string `json:"message"`
}

// String returns the form "file: [section] key: message".
func (p Problem) String() string {
	parts := []string{p.File + ":"}
	if p.Section != "" {
		parts = append(parts, "["+p.Section+"]")
	}
	if p.Key != "" {
		parts = append(parts, p.Key+":")
	}
	return strings.Join(append(parts, p.Message), " ")
}

// File is a loaded file with the problems found so far.
type File struct {
	name     string
	sections []*Section
	problems []Problem
	// omitted counts the problems beyond MaxProblems.
	omitted int
}

// MaxProblems bounds the problems that are collected; a short text can hold very many.
const MaxProblems = 1000

// MaxSize bounds the text of a file, in bytes.
const MaxSize = 1 << 20

// Load parses text into sections and keys. It always returns a file; mistakes in
// the text are returned by Problems.
func Load(name string, text []byte) *File {
	f := &File{name: name}
	if len(text) > MaxSize {
		f.Report("", "", fmt.Sprintf("is %d bytes long; at most %d are allowed", len(text), MaxSize))
		return f
	}
	parsed, err := ini.LoadSources(loadOptions(), text)
	if err != nil {
		f.Report("", "", "is not an INI file: "+err.Error())
		return f
	}
	f.addSections(parsed)
	return f
}

// loadOptions makes the library return duplicate sections and keys instead of
// merging them: otherwise the second of two "[pool a]" would silently win.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
	}
}

func (f *File) addSections(parsed *ini.File) {
	seen := map[string]bool{}
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			f.reportKeysOutsideSections(section)
			continue
		}
		if seen[name] {
			f.Report(name, "", "appears twice; a section may appear once")
			continue
		}
		seen[name] = true
		f.sections = append(f.sections, newSection(f, section))
	}
}

func (f *File) reportKeysOutsideSections(section *ini.Section) {
	for _, key := range section.Keys() {
		f.Report("", key.Name(), "stands before the first section; move it into one")
	}
}

// Section returns the section with the given name, or an empty one.
func (f *File) Section(name string) *Section {
	for _, s := range f.sections {
		if s.name == name {
			s.accessed = true
			return s
		}
	}
	return &Section{file: f, name: name, accessed: true}
}

// Has reports whether the file contains the section.
func (f *File) Has(name string) bool {
	for _, s := range f.sections {
		if s.name == name {
			return true
		}
	}
	return false
}

// SectionsOfKind returns the sections "[kind NAME]", sorted by name.
func (f *File) SectionsOfKind(kind string) []*Section {
	var named []*Section
	for _, s := range f.sections {
		sectionKind, label, ok := strings.Cut(s.name, " ")
		if !ok || sectionKind != kind {
			continue
		}
		s.accessed = true
		s.label = strings.TrimSpace(label)
		named = append(named, s)
	}
	sort.Slice(named, func(i, j int) bool { return named[i].label < named[j].label })
	return named
}

// Report adds a problem.
func (f *File) Report(section, key, message string) {
	if len(f.problems) >= MaxProblems {
		f.omitted++
		return
	}
	f.problems = append(f.problems, Problem{File: f.name, Section: section, Key: key, Message: message})
}

// Problems returns all problems, including one for each section and key that was
// never read. Call it after all keys have been read.
func (f *File) Problems() []Problem {
	all, omitted := append([]Problem(nil), f.problems...), f.omitted
	for _, s := range f.sections {
		for _, p := range s.unknownKeys() {
			if len(all) >= MaxProblems {
				omitted++
				continue
			}
			all = append(all, p)
		}
	}
	if omitted > 0 {
		all = append(all, Problem{File: f.name, Message: fmt.Sprintf("has %d problems more", omitted)})
	}
	return all
}
