//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"
)

// errTemplate means that the settings template cannot be filled in.
var errTemplate = errors.New("settings template cannot be filled in")

// keyed is the current entry of a section with its key.
type keyed struct {
	key   string
	value any
	last  bool
}

var tag = regexp.MustCompile(`\{\{([#^/]?)([^{}]*)\}\}`)

// fill fills the template in from the fields, as the platform does.
func fill(text string, stack []any) (string, error) {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:at[0]])
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		text = text[at[1]:]
		if kind == "" {
			value, err := render(name, stack)
			if err != nil {
				return "", err
			}
			out.WriteString(value)
			continue
		}
		body, rest, err := sectionOf(name, text)
		if err != nil {
			return "", err
		}
		text = rest
		filled, err := fillSection(kind, body, find(name, stack), stack)
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
}

// sectionOf splits the text after the opening tag of a section into its body and the rest.
func sectionOf(name, text string) (body, rest string, err error) {
	depth := 1
	for from := 0; ; {
		at := tag.FindStringSubmatchIndex(text[from:])
		if at == nil {
			return "", "", fmt.Errorf("%w: section %s has no end", errTemplate, name)
		}
		kind, found := text[from+at[2]:from+at[3]], text[from+at[4]:from+at[5]]
		switch {
		case found == name && (kind == "#" || kind == "^"):
			depth++
		case found == name && kind == "/":
			depth--
		}
		if depth == 0 {
			return text[:from+at[0]], text[from+at[1]:], nil
		}
		from += at[1]
	}
}

func fillSection(kind, body string, value any, stack []any) (string, error) {
	absent := value == nil || value == false
	if kind == "^" {
		if absent {
			return fill(body, stack)
		}
		return "", nil
	}
	if absent {
		return "", nil
	}
	var entries []keyed
	switch v := value.(type) {
	case map[string]any:
		names := make([]string, 0, len(v))
		for name := range v {
			names = append(names, name)
		}
		sort.Strings(names)
		for i, name := range names {
			entries = append(entries, keyed{name, v[name], i == len(names)-1})
		}
	case []any:
		for i, e := range v {
			entries = append(entries, keyed{fmt.Sprint(i), e, i == len(v)-1})
		}
	default:
		return fill(body, stack)
	}
	var out strings.Builder
	for _, e := range entries {
		filled, err := fill(body, append(append([]any{}, stack...), e))
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
	return out.String(), nil
}

func render(name string, stack []any) (string, error) {
	top, inEntry := stack[len(stack)-1].(keyed)
	switch {
	case name == "@" && inEntry:
		return top.key, nil
	case name == "," && inEntry:
		if top.last {
			return "", nil
		}
		return ",", nil
	case strings.Contains(name, "|"):
		return "", fmt.Errorf("%w: %s", errTemplate, name)
	}
	switch v := find(name, stack).(type) {
	case nil:
		return "", nil
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = fmt.Sprint(e)
		}
		return strings.Join(parts, ","), nil
	case map[string]any:
		text, err := json.Marshal(v)
		return string(text), err
	default:
		return fmt.Sprint(v), nil
	}
}

func find(name string, stack []any) any {
	for i := len(stack) - 1; i >= 0; i-- {
		value := stack[i]
		if e, ok := value.(keyed); ok {
			value = e.value
		}
		if name == "." {
			return value
		}
		if found := lookUp(value, strings.Split(name, ".")); found != nil {
			return found
		}
	}
	return nil
}

func lookUp(value any, path []string) any {
	for _, name := range path {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i < 0 || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// roleOf returns the values of the keys of the role in the deploy file.
func readDeploy(path string) (runLine, template string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", "", err
	}
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " = ")
		switch key {
		case "run":
			runLine = strings.Trim(value, `"`)
		case "template":
			template = strings.Trim(value, `"`)
		}
	}
	if runLine == "" || template == "" {
		return "", "", fmt.Errorf("%s has no run line or no template", path)
	}
	return runLine, template, nil
}
