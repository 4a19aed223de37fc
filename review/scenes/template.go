package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// section matches a block {{#a}}..{{/a}} of a settings template.
var section = regexp.MustCompile(`(?s)\{\{#([\w.-]+)\}\}(.*?)\{\{/([\w.-]+)\}\}`)

// placeholder matches {{a}}, {{a.b}}, {{a.0}} and {{.}}.
var placeholder = regexp.MustCompile(`\{\{([\w.-]+)\}\}`)

// render fills a settings template in, as far as the project's own template needs it:
// values, list entries, joined lists, and blocks that are left out without a value.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(block string) string {
		m := section.FindStringSubmatch(block)
		value := look(fields, m[1])
		if value == nil {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", display(value))
	})
	return placeholder.ReplaceAllStringFunc(text, func(name string) string {
		return display(look(fields, placeholder.FindStringSubmatch(name)[1]))
	})
}

func look(value any, path string) any {
	for part := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

func display(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = display(v[i])
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}
