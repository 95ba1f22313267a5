package head

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Base holds the hash of each file at the folder's last publication. It is the base of the three-way merge.
type Base map[string]Hash

// Result is the outcome of a publication.
type Result struct {
	Revision units.Revision
	Changed  bool     // false if the platform already had the same files
	Theirs   []string // files whose changes by another operator were kept
	Base     Base     // base of the next publication
}

// ConflictError lists the files that both the folder and another operator changed.
type ConflictError struct {
	Files []string
}

// Error returns a message that lists the files.
func (c *ConflictError) Error() string {
	return "another operator changed the same files meanwhile: " + strings.Join(c.Files, ", ")
}

// Publish merges the folder's changes since the base into the accepted configuration, and writes the result as its next
// revision if it passes the check. Other operators' changes to other files are kept; a file that both sides changed
// returns a ConflictError. A nil base means that the folder was never published. With overwrite, the folder replaces
// the accepted configuration.
func Publish(ctx context.Context, store objapi.Store, folder []config.File, base Base, overwrite bool) (Result, error) {
	for {
		h, object, err := readHead(ctx, store)
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
		err = writeHead(ctx, store, object, result.Revision, files)
		if errors.Is(err, objapi.ErrConflict) {
			continue
		}
		return result, err
	}
}

// merge makes a three-way merge of the folder, the base and the head's files. The returned Result lacks the revision.
func merge(
	ctx context.Context, store objapi.Store, h Head, folder []config.File, base Base, overwrite bool,
) ([]config.File, Result, error) {
	local, texts := hashFiles(folder)
	remote := map[string]Hash{}
	for _, e := range h.Files {
		remote[e.Name] = e.Hash
	}
	result := Result{Base: Base{}}
	var conflicts []string
	merged := Head{}
	for _, name := range sortedNames(local, base, remote) {
		decision := mergeFile(local[name], base[name], remote[name], base != nil, overwrite)
		chosen := remote[name]
		switch decision {
		case mergeLocal:
			chosen = local[name]
		case mergeRemote:
			result.Theirs = append(result.Theirs, name)
		case mergeConflict:
			conflicts = append(conflicts, name)
		case mergeSame:
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
	files, err := fetchFiles(ctx, store, merged, texts)
	return files, result, err
}

type mergeDecision int

const (
	mergeSame mergeDecision = iota
	mergeLocal
	mergeRemote
	mergeConflict
)

// mergeFile decides which version of one file to keep: the folder's, the platform's or, on a conflict, neither.
func mergeFile(local, base, remote Hash, hasBase, overwrite bool) mergeDecision {
	switch {
	case local == remote:
		return mergeSame
	case overwrite || remote == "" && !hasBase:
		return mergeLocal
	case !hasBase && local == "":
		return mergeRemote
	case !hasBase:
		return mergeConflict
	case local == base:
		return mergeRemote
	case remote == base:
		return mergeLocal
	default:
		return mergeConflict
	}
}

func hashFiles(files []config.File) (byName map[string]Hash, texts map[Hash]string) {
	byName, texts = map[string]Hash{}, map[Hash]string{}
	for _, f := range files {
		hash := HashOf(f.Text)
		byName[f.Name] = hash
		texts[hash] = f.Text
	}
	return byName, texts
}

func sortedNames(sets ...map[string]Hash) []string {
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

// String returns the message for the operator.
func (r Result) String() string {
	if !r.Changed {
		return fmt.Sprintf("revision %d has these files already", r.Revision)
	}
	return fmt.Sprintf("accepted revision %d", r.Revision)
}
