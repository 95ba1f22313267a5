package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/head"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	baseFile           = ".buckthorntrack.json"
	baseMode           = 0o600
	folderPollInterval = 500 * time.Millisecond
	publishTimeout     = 30 * time.Second
)

// syncCmd publishes a configuration folder.
type syncCmd struct {
	Dir       string `arg:"" help:"Configuration folder."`
	Platform  string `required:"" placeholder:"URL" help:"Base URL of the platform's object API."`
	Once      bool   `help:"Stop after the first publication."`
	Overwrite bool   `help:"Let the folder's files win over those of other operators."`
}

// Help returns an example.
func (syncCmd) Help() string {
	return "Example: buckthorntrack sync --platform http://127.0.0.1:7000 --once ./folder"
}

// Run publishes the folder, and then each change of it until the command is stopped.
func (c *syncCmd) Run(e *env) error {
	store, closeStore, err := objapi.New(c.Platform, http.DefaultTransport)
	if err != nil {
		return err
	}
	defer closeStore()
	last := []config.File(nil)
	for {
		files, err := config.ReadFolder(c.Dir)
		if err != nil {
			return err
		}
		if !slices.Equal(files, last) {
			err := c.publish(e, store, files)
			if c.Once {
				return err
			}
			if err != nil && !errors.Is(err, errReported) {
				_, _ = fmt.Fprintf(e.stderr, "buckthorntrack: %v\n", err)
			}
			if !errors.Is(err, objapi.ErrUnavailable) && !errors.Is(err, objapi.ErrUnresolved) {
				last = files
			}
		}
		if !wait.Sleep(e.ctx, folderPollInterval) {
			return nil
		}
	}
}

// publish merges the files with those on the platform, publishes the result and stores the new merge base.
func (c *syncCmd) publish(e *env, store objapi.Store, files []config.File) error {
	ctx, cancel := context.WithTimeout(e.ctx, publishTimeout)
	defer cancel()
	base, err := readBase(c.Dir)
	if err != nil {
		return err
	}
	result, err := head.Publish(ctx, store, files, base, c.Overwrite)
	if err != nil {
		return reportProblems(e.stderr, err)
	}
	_, _ = fmt.Fprintln(e.stdout, result)
	if len(result.Theirs) > 0 {
		_, _ = fmt.Fprintf(e.stdout, "kept from other operators: %s\n", strings.Join(result.Theirs, ", "))
	}
	return writeBase(c.Dir, result.Base)
}

// readBase reads the merge base: the hash of each file as of the last publication. It returns nil if there is none.
func readBase(dir string) (head.Base, error) {
	data, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read merge base: %w", err)
	}
	base := head.Base{}
	if err := json.Unmarshal(data, &base); err != nil {
		return nil, fmt.Errorf("read merge base: %s is malformed, delete it to continue without it: %w", baseFile, err)
	}
	return base, nil
}

func writeBase(dir string, base head.Base) error {
	data, err := json.MarshalIndent(base, "", "  ")
	if err != nil {
		return fmt.Errorf("encode merge base: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, baseFile), data, baseMode); err != nil {
		return fmt.Errorf("write merge base: %w", err)
	}
	return nil
}
