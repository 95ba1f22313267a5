//go:build review

package main

import (
	"fmt"
	"strings"
)

// fillTemplate replaces {{NAME}} by the value of the name. The text from {{#NAME}} to {{/NAME}} stays if the value is not empty, that
// from {{^NAME}} if it is. Such sections may contain others. Outside of sections that are dropped each name needs an entry in values.
func fillTemplate(text string, values map[string]string) (string, error) {
	var filled strings.Builder
	for {
		before, tag, rest, found := cutTag(text)
		filled.WriteString(before)
		if !found && strings.Contains(before, "{{") {
			return "", fmt.Errorf("placeholder has no end: %s", before)
		}
		if !found {
			return filled.String(), nil
		}
		name := strings.TrimLeft(tag, "#^")
		value, known := values[name]
		if !known {
			return "", fmt.Errorf("placeholder {{%s}} has no value", tag)
		}
		if name == tag {
			filled.WriteString(value)
			text = rest
			continue
		}
		body, after, err := cutSection(rest, name)
		if err != nil {
			return "", err
		}
		text = after
		if (value != "") != (tag[0] == '#') {
			continue
		}
		part, err := fillTemplate(body, values)
		if err != nil {
			return "", err
		}
		filled.WriteString(part)
	}
}

// cutTag cuts the text around its first placeholder.
func cutTag(text string) (before, tag, after string, found bool) {
	before, rest, begun := strings.Cut(text, "{{")
	tag, after, ended := strings.Cut(rest, "}}")
	if !begun || !ended {
		return text, "", "", false
	}
	return before, tag, after, true
}

// cutSection cuts the text around the end of the section of that name, which has begun before the text.
func cutSection(text, name string) (body, after string, err error) {
	depth := 1
	for rest := text; ; {
		_, tag, next, found := cutTag(rest)
		if !found {
			return "", "", fmt.Errorf("section {{#%s}} has no end", name)
		}
		switch tag {
		case "#" + name, "^" + name:
			depth++
		case "/" + name:
			depth--
		}
		if depth == 0 {
			return text[:len(text)-len(next)-len("{{/}}")-len(name)], next, nil
		}
		rest = next
	}
}
