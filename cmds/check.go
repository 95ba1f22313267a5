package cmds

import (
	"fmt"
	"io"

	"github.com/buckthorntrack/buckthorntrack/config"
)

// checkCmd merges and validates a configuration folder.
type checkCmd struct {
	Dir  string `arg:"" optional:"" help:"Configuration folder."`
	Show bool   `help:"Print each merged key with the file and line that it comes from."`
	Keys bool   `help:"Print all sections and keys with type, default and meaning."`
}

// Help returns an example.
func (checkCmd) Help() string {
	return "Example: buckthorntrack check --show ./folder"
}

// Run prints all problems of the folder and fails if there are any.
func (c *checkCmd) Run(e *env) error {
	if c.Keys {
		printKeys(e.stdout, "Folder", config.Sections())
		printKeys(e.stdout, "Settings of a process", config.SettingsHelp())
		return nil
	}
	if c.Dir == "" {
		return fmt.Errorf("check requires a configuration folder")
	}
	files, err := config.ReadFolder(c.Dir)
	if err != nil {
		return err
	}
	_, sections, err := config.Build(0, files)
	if c.Show {
		printSections(e.stdout, sections)
	}
	if err != nil {
		return reportProblems(e.stderr, err)
	}
	_, _ = fmt.Fprintf(e.stdout, "%d files are good\n", len(files))
	return nil
}

// printSections prints the merged sections, each key with its position.
func printSections(w io.Writer, sections []*config.Section) {
	for _, s := range sections {
		_, _ = fmt.Fprintf(w, "[%s]\n", s.Title())
		for _, key := range s.Keys() {
			value := s.Values[key]
			_, _ = fmt.Fprintf(w, "%s = %s\t; %s\n", key, value.Text, value.Position)
		}
	}
}

// printKeys documents the keys of the section kinds.
func printKeys(w io.Writer, title string, kinds []config.SectionHelp) {
	_, _ = fmt.Fprintf(w, "# %s\n", title)
	for _, kind := range kinds {
		_, _ = fmt.Fprintf(w, "\n[%s]\n", kind.Kind)
		for _, k := range kind.Keys {
			note := "default " + k.Default
			switch {
			case k.Required:
				note = "required"
			case k.Default == "":
				note = "no default"
			}
			_, _ = fmt.Fprintf(w, "%s (%s, %s): %s\n", k.Key, k.Type, note, k.Help)
		}
	}
	_, _ = fmt.Fprintln(w)
}

// reportProblems prints configuration problems, one per line, and returns errReported. Other errors are returned as
// they are.
func reportProblems(w io.Writer, err error) error {
	problems, ok := config.AsProblems(err)
	if !ok {
		return err
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(w, p)
	}
	return errReported
}
