// Package config merges, checks and holds the operators' configuration folder.
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
	// FileSuffix is the ending of the folder's files.
	FileSuffix = ".ini"
	// MaxFileBytes bounds one file, so that it fits an object of the platform.
	MaxFileBytes = 512 << 10
)

// File is one file of a folder.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Position is a line of a file.
type Position struct {
	File string
	Line int
}

// String returns the position as file:line.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one thing that is wrong in a file.
type Problem struct {
	Position

	Key     string // key at fault, empty when the whole line or section is
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Position, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Position, p.Key, p.Message)
}

// ProblemsError is an error that lists everything wrong, in the order of positions.
type ProblemsError []Problem

// Error returns one line for each problem.
func (p ProblemsError) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems in the order of files and lines.
func (p ProblemsError) sorted() ProblemsError {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return p
}

// Value is the text of a key with the place that it comes from.
type Value struct {
	Position

	Text string
}

// Section is a merged section.
type Section struct {
	Position // of the first file that names it

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

// Keys returns the section's keys in order.
func (s *Section) Keys() []string {
	keys := make([]string, 0, len(s.Values))
	for key := range s.Values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// ReadFolder reads the files of a folder in the order of their names.
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

// SortFiles puts files into the order in which they are merged.
func SortFiles(files []File) {
	slices.SortFunc(files, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
}

// Merge parses the files and merges their sections; a later file overrides key by key.
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
	kept := make([]*Section, 0, len(merged))
	for _, section := range merged {
		kept = append(kept, section)
	}
	slices.SortFunc(kept, func(a, b *Section) int { return cmp.Compare(a.Title(), b.Title()) })
	return kept, problems.sorted()
}

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

// parse reads one file. Lines are found by a scan of the text, values by the INI library.
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

// scanner finds sections, keys and their lines in one file.
type scanner struct {
	file     File
	sections []*Section
	titles   map[string]*Section
	current  *Section
	problems ProblemsError
}

func scan(file File) ([]*Section, ProblemsError) {
	s := scanner{file: file, titles: map[string]*Section{}}
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
		s.pair(at, line)
	}
}

func (s *scanner) header(at Position, line string) {
	if !strings.HasSuffix(line, "]") {
		s.report(at, "", "section header lacks its closing bracket")
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
	if earlier, twice := s.titles[section.Title()]; twice {
		s.report(at, "", fmt.Sprintf("section [%s] stands twice in this file, first at line %d",
			section.Title(), earlier.Line))
		s.current = earlier
		return
	}
	s.titles[section.Title()] = section
	s.sections = append(s.sections, section)
}

func (s *scanner) pair(at Position, line string) {
	key, text, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	switch {
	case !ok || key == "":
		s.report(at, "", fmt.Sprintf("line %q is neither a section nor key = value", line))
	case s.current == nil:
		s.report(at, key, "key stands before any section")
	default:
		if earlier, twice := s.current.Values[key]; twice {
			s.report(at, key, fmt.Sprintf("key stands twice in this section, first at line %d", earlier.Line))
		}
		s.current.Values[key] = Value{Position: at, Text: strings.TrimSpace(text)}
	}
}

func (s *scanner) report(at Position, key, message string) {
	s.problems = append(s.problems, Problem{Position: at, Key: key, Message: message})
}

// AsProblems returns the problems of files that err lists, if it does.
func AsProblems(err error) (ProblemsError, bool) {
	var problems ProblemsError
	ok := errors.As(err, &problems)
	return problems, ok
}
