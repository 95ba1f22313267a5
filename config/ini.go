// Package config parses, merges and validates the configuration folder and the settings of a process.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

const (
	// FileSuffix is the file name suffix of configuration files. Other files are ignored.
	FileSuffix = ".ini"
	// MaxFileBytes is the maximum size of one file, so that it fits into an object of the platform.
	MaxFileBytes = 512 << 10
)

// File is one file of a configuration folder.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Position identifies a line of a file.
type Position struct {
	File string
	Line int
}

// String returns the position as file:line.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one error in a configuration file.
type Problem struct {
	Position

	Key     string // key at fault, empty if the problem concerns the whole line or section
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Position, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Position, p.Key, p.Message)
}

// ProblemsError is an error that lists all problems, sorted by position.
type ProblemsError []Problem

// Error returns one line for each problem.
func (p ProblemsError) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems in place by file, line and key, and returns them.
func (p ProblemsError) sorted() ProblemsError {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return p
}

// Value is the text of a key with the position at which it is set.
type Value struct {
	Position

	Text string
}

// Section is a section, possibly merged from several files.
type Section struct {
	Position // of its header in the first file that has it

	Kind   string
	Name   string
	Values map[string]Value
}

// Title returns the section's header without brackets.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Keys returns the section's keys in alphabetical order.
func (s *Section) Keys() []string {
	keys := make([]string, 0, len(s.Values))
	for key := range s.Values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ReadFolder reads the configuration files of a folder, sorted by name.
func ReadFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	var files []File
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), FileSuffix) {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		files = append(files, File{Name: entry.Name(), Text: string(text)})
	}
	SortFiles(files)
	return files, nil
}

// SortFiles sorts files by name, the order in which they are merged.
func SortFiles(files []File) {
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
}

// Merge parses the files and merges their sections. A later file overrides single keys of an earlier one.
func Merge(files []File) ([]*Section, ProblemsError) {
	var problems ProblemsError
	merged := map[string]*Section{}
	for _, file := range files {
		sections, found := parse(file)
		problems = append(problems, found...)
		for _, section := range sections {
			mergeSection(merged, section)
		}
	}
	sections := make([]*Section, 0, len(merged))
	for _, section := range merged {
		sections = append(sections, section)
	}
	slices.SortFunc(sections, func(a, b *Section) int { return cmp.Compare(a.Title(), b.Title()) })
	return sections, problems.sorted()
}

// mergeSection adds the section to merged, or overrides the keys of the section with the same title.
func mergeSection(merged map[string]*Section, section *Section) {
	earlier, ok := merged[section.Title()]
	if !ok {
		merged[section.Title()] = section
		return
	}
	for key, value := range section.Values {
		earlier.Values[key] = value
	}
}

// parse parses one file. Line numbers come from a scan of the text, since the INI library does not report them; values
// come from the library.
func parse(file File) ([]*Section, ProblemsError) {
	scanned, problems := scan(file)
	if len(file.Text) > MaxFileBytes {
		message := fmt.Sprintf("file is larger than %d bytes", MaxFileBytes)
		return nil, append(problems, Problem{Position: Position{File: file.Name, Line: 1}, Message: message})
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, []byte(file.Text))
	if err != nil {
		if len(problems) == 0 {
			message := strings.ReplaceAll(err.Error(), "\n", " ")
			problems = append(problems, Problem{Position: Position{File: file.Name, Line: 1}, Message: message})
		}
		return scanned, problems
	}
	for _, section := range scanned {
		readValues(section, parsed)
	}
	return scanned, problems
}

// readValues replaces the scanned values by those that the INI library parsed.
func readValues(section *Section, parsed *ini.File) {
	source, err := parsed.GetSection(section.Title())
	if err != nil {
		return
	}
	for key, value := range section.Values {
		if source.HasKey(key) {
			value.Text = source.Key(key).Value()
			section.Values[key] = value
		}
	}
}

// scanner finds the sections and keys of one file and their line numbers.
type scanner struct {
	file     File
	sections []*Section
	byTitle  map[string]*Section
	current  *Section // section of the line, nil before the first header
	problems ProblemsError
}

func scan(file File) ([]*Section, ProblemsError) {
	s := scanner{file: file, byTitle: map[string]*Section{}}
	for i, line := range strings.Split(file.Text, "\n") {
		s.line(i+1, strings.TrimSpace(line))
	}
	return s.sections, s.problems
}

func (s *scanner) line(number int, line string) {
	at := Position{File: s.file.Name, Line: number}
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		s.header(at, line)
	default:
		s.keyValue(at, line)
	}
}

func (s *scanner) header(at Position, line string) {
	if !strings.HasSuffix(line, "]") {
		s.report(at, "", "section header has no closing bracket")
		return
	}
	title := strings.Fields(line[1 : len(line)-1])
	if len(title) == 0 || len(title) > 2 {
		s.report(at, "", "section header must be [kind name]")
		return
	}
	section := &Section{Position: at, Kind: title[0], Values: map[string]Value{}}
	if len(title) == 2 {
		section.Name = title[1]
	}
	s.current = section
	if earlier, duplicate := s.byTitle[section.Title()]; duplicate {
		s.report(at, "", fmt.Sprintf("section [%s] is defined twice in this file, first at line %d",
			section.Title(), earlier.Line))
		s.current = earlier
		return
	}
	s.byTitle[section.Title()] = section
	s.sections = append(s.sections, section)
}

func (s *scanner) keyValue(at Position, line string) {
	key, text, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	switch {
	case !ok || key == "":
		s.report(at, "", fmt.Sprintf("line %q is neither a section header nor a key = value pair", line))
	case s.current == nil:
		s.report(at, key, "key is not in any section")
	default:
		if earlier, duplicate := s.current.Values[key]; duplicate {
			s.report(at, key, fmt.Sprintf("key is defined twice in this section, first at line %d", earlier.Line))
		}
		s.current.Values[key] = Value{Position: at, Text: strings.TrimSpace(text)}
	}
}

func (s *scanner) report(at Position, key, message string) {
	s.problems = append(s.problems, Problem{Position: at, Key: key, Message: message})
}

// AsProblems returns the ProblemsError in err's chain, if there is one.
func AsProblems(err error) (ProblemsError, bool) {
	var problems ProblemsError
	ok := errors.As(err, &problems)
	return problems, ok
}
