//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// fill fills in a template of the deployment with the fields of a process's settings.
func fill(text string, fields map[string]any) (string, error) {
	f := filler{root: fields}
	out, rest, err := f.block(text, "", scope{})
	if err == nil && rest != "" {
		err = fmt.Errorf("template goes on after its end: %q", rest)
	}
	return out, err
}

type filler struct {
	root map[string]any
}

// scope is the entry of a section.
type scope struct {
	value any
	key   string
	last  bool
	set   bool
}

// block fills in text up to the end of the named section, and returns what follows it.
func (f filler) block(text, name string, in scope) (out, rest string, err error) {
	var b strings.Builder
	for {
		before, after, found := strings.Cut(text, "{{")
		b.WriteString(before)
		if !found {
			if name != "" {
				return "", "", fmt.Errorf("section %s has no end", name)
			}
			return b.String(), "", nil
		}
		tag, next, found := strings.Cut(after, "}}")
		if !found {
			return "", "", fmt.Errorf("placeholder %q has no end", after)
		}
		text = next
		switch {
		case tag == "/"+name && name != "":
			return b.String(), text, nil
		case strings.HasPrefix(tag, "#"), strings.HasPrefix(tag, "^"):
			value, ok := f.lookUp(tag[1:], in)
			var filled string
			if filled, text, err = f.section(text, tag[1:], tag[0] == '^', value, ok, in); err != nil {
				return "", "", err
			}
			b.WriteString(filled)
		case tag == "@":
			b.WriteString(in.key)
		case tag == ",":
			if !in.last {
				b.WriteString(",")
			}
		case tag == ".":
			fmt.Fprint(&b, in.value)
		default:
			if value, ok := f.lookUp(tag, in); ok {
				fmt.Fprint(&b, value)
			}
		}
	}
}

// section fills in a section as often as its value says.
func (f filler) section(text, name string, inverted bool, value any, ok bool, in scope) (out, rest string, err error) {
	_, rest, err = f.block(text, name, in)
	if err != nil {
		return "", "", err
	}
	holds := ok && value != false && value != ""
	if inverted || !holds {
		if inverted != holds {
			out, _, err = f.block(text, name, in)
			return out, rest, err
		}
		return "", rest, nil
	}
	entries, isTable := value.([]entry)
	if !isTable {
		out, _, err = f.block(text, name, in)
		return out, rest, err
	}
	for i, e := range entries {
		filled, _, err := f.block(text, name, scope{value: e.value, key: e.key, last: i == len(entries)-1, set: true})
		if err != nil {
			return "", "", err
		}
		out += filled
	}
	return out, rest, nil
}

// entry is a key of a table whose order matters.
type entry struct {
	key   string
	value any
}

func (f filler) lookUp(path string, _ scope) (any, bool) {
	var value any = f.root
	for _, part := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			next, ok := v[part]
			if !ok {
				return nil, false
			}
			value = next
		case []int:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, true
}

// deployed is what the deploy file says of the one role.
type deployed struct {
	run, template string
	env           map[string]string
}

// readDeploy reads the lines of the deploy file that this rig needs.
func readDeploy(path string) (deployed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return deployed{}, err
	}
	d := deployed{env: map[string]string{}}
	for line := range strings.Lines(string(data)) {
		name, value, ok := strings.Cut(line, "=")
		if !ok {
			continue
		}
		value = strings.TrimSpace(value)
		switch strings.TrimSpace(name) {
		case "run":
			d.run = strings.Trim(value, `"`)
		case "template":
			d.template = strings.Trim(value, `"`)
		case "env":
			for pair := range strings.SplitSeq(strings.Trim(value, "{} "), ", ") {
				key, text, _ := strings.Cut(pair, "=")
				d.env[strings.TrimSpace(key)] = strings.Trim(strings.TrimSpace(text), `"`)
			}
		}
	}
	if d.run == "" || d.template == "" {
		return d, fmt.Errorf("%s has no run line or no template", path)
	}
	return d, nil
}
