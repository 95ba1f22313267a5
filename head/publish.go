package head

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Base is what a folder and the platform last agreed on: the hash of each file.
type Base map[string]Hash

// Result is the outcome of a publication.
type Result struct {
	Revision units.Revision
	Changed  bool     // false when the platform had the same files already
	Theirs   []string // files that another operator changed, which were kept
	Base     Base     // to be passed to the next publication
}

// ConflictError names the files that another operator changed too.
type ConflictError struct {
	Files []string
}

// Error names the files.
func (c *ConflictError) Error() string {
	return "another operator changed the same files meanwhile: " + strings.Join(c.Files, ", ")
}

// Publish makes the folder's changes since the base the accepted configuration. Changes of other operators to
// other files are kept. A nil base stands for a folder that was never published. With overwrite, the folder's
// files win over all others.
func Publish(ctx context.Context, store plat.Store, folder []config.File, base Base, overwrite bool) (Result, error) {
	for {
		h, object, err := read(ctx, store)
		if err != nil {
			return Result{}, err
		}
		files, result, err := merge(ctx, store, h, folder, base, overwrite)
		if err != nil {
			return Result{}, err
		}
		if _, _, err := config.Build(h.Revision+1, files); err != nil {
			return Result{}, err
		}
		if sameFiles(h, files) && object.Version != 0 {
			result.Revision = h.Revision
			return result, nil
		}
		result.Revision, result.Changed = h.Revision+1, true
		err = write(ctx, store, object, result.Revision, files)
		if errors.Is(err, plat.ErrConflict) {
			continue
		}
		return result, err
	}
}

// merge applies the folder's changes since the base to the head's files.
func merge(
	ctx context.Context, store plat.Store, h Head, folder []config.File, base Base, overwrite bool,
) ([]config.File, Result, error) {
	local, texts := hashes(folder)
	theirs := map[string]Hash{}
	for _, e := range h.Files {
		theirs[e.Name] = e.Hash
	}
	result := Result{Base: Base{}}
	var conflicts []string
	merged := Head{}
	for _, name := range names(local, base, theirs) {
		side := choose(local[name], base[name], theirs[name], base != nil, overwrite)
		chosen := theirs[name]
		switch side {
		case sideOurs:
			chosen = local[name]
		case sideTheirs:
			result.Theirs = append(result.Theirs, name)
		case sideConflict:
			conflicts = append(conflicts, name)
		case sideSame:
		}
		if chosen != "" {
			merged.Files = append(merged.Files, Entry{Name: name, Hash: chosen})
		}
		if local[name] != "" {
			result.Base[name] = local[name]
		}
	}
	if len(conflicts) > 0 {
		return nil, Result{}, &ConflictError{Files: conflicts}
	}
	files, err := fetch(ctx, store, merged, texts)
	return files, result, err
}

type side int

const (
	sideSame side = iota
	sideOurs
	sideTheirs
	sideConflict
)

// choose decides for one file between the folder, what both agreed on last, and the platform.
func choose(local, base, theirs Hash, hasBase, overwrite bool) side {
	switch {
	case local == theirs:
		return sideSame
	case overwrite || theirs == "" && !hasBase:
		return sideOurs
	case !hasBase && local == "":
		return sideTheirs
	case !hasBase:
		return sideConflict
	case local == base:
		return sideTheirs
	case theirs == base:
		return sideOurs
	default:
		return sideConflict
	}
}

func hashes(files []config.File) (byName map[string]Hash, texts map[Hash]string) {
	byName, texts = map[string]Hash{}, map[Hash]string{}
	for _, f := range files {
		hash := HashOf(f.Text)
		byName[f.Name] = hash
		texts[hash] = f.Text
	}
	return byName, texts
}

func names(sets ...map[string]Hash) []string {
	all := map[string]bool{}
	for _, set := range sets {
		for name := range set {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func sameFiles(h Head, files []config.File) bool {
	if len(h.Files) != len(files) {
		return false
	}
	for i, f := range files {
		if h.Files[i].Name != f.Name || h.Files[i].Hash != HashOf(f.Text) {
			return false
		}
	}
	return true
}

// String describes the result for operators.
func (r Result) String() string {
	if !r.Changed {
		return fmt.Sprintf("revision %d has these files already", r.Revision)
	}
	return fmt.Sprintf("accepted revision %d", r.Revision)
}
