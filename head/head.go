// Package head publishes configuration folders to the platform and keeps processes up to date with them.
package head

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Key is the key of the head object, which lists the files of the accepted configuration.
	Key = "config/head"

	filePrefix = "config/file/"
)

// Hash is the hex SHA-256 hash of a file's text. The empty hash means that there is no file.
type Hash string

// HashOf returns the Hash of the text.
func HashOf(text string) Hash {
	sum := sha256.Sum256([]byte(text))
	return Hash(hex.EncodeToString(sum[:]))
}

// Entry is one file of an accepted configuration. The text is stored under its hash.
type Entry struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
}

// Head is the value of the head object.
type Head struct {
	Revision units.Revision `json:"revision"`
	Files    []Entry        `json:"files"`
}

// fileValue is the value of a file object.
type fileValue struct {
	Text string `json:"text"`
}

// readHead returns the head and its object. Both are zero if the platform has no head.
func readHead(ctx context.Context, store objapi.Store) (Head, objapi.Object, error) {
	object, err := store.Get(ctx, Key)
	if errors.Is(err, objapi.ErrNotFound) {
		return Head{}, objapi.Object{}, nil
	}
	if err != nil {
		return Head{}, objapi.Object{}, fmt.Errorf("read configuration head: %w", err)
	}
	var h Head
	if err := object.Decode(&h); err != nil {
		return Head{}, objapi.Object{}, fmt.Errorf("read configuration head: %w", err)
	}
	return h, object, nil
}

// fetchFiles returns the head's files, sorted. It reads only texts that are not in known.
func fetchFiles(ctx context.Context, store objapi.Store, h Head, known map[Hash]string) ([]config.File, error) {
	files := make([]config.File, 0, len(h.Files))
	for _, e := range h.Files {
		text, ok := known[e.Hash]
		if !ok {
			fetched, err := fetchText(ctx, store, e)
			if err != nil {
				return nil, err
			}
			text = fetched
		}
		files = append(files, config.File{Name: e.Name, Text: text})
	}
	config.SortFiles(files)
	return files, nil
}

func fetchText(ctx context.Context, store objapi.Store, e Entry) (string, error) {
	object, err := store.Get(ctx, filePrefix+string(e.Hash))
	if err != nil {
		return "", fmt.Errorf("read configuration file %s: %w", e.Name, err)
	}
	var file fileValue
	if err := object.Decode(&file); err != nil {
		return "", fmt.Errorf("read configuration file %s: %w", e.Name, err)
	}
	if HashOf(file.Text) != e.Hash {
		return "", fmt.Errorf(
			"read configuration file %s: %w: content does not match its hash", e.Name, objapi.ErrBadObject)
	}
	return file.Text, nil
}

// writeHead stores the files and then the head. It fails with objapi.ErrConflict if the head is no longer at the
// version of the previous object. A conflict on a file is ignored, since a file's key is the hash of its text.
func writeHead(
	ctx context.Context, store objapi.Store, previous objapi.Object, revision units.Revision, files []config.File,
) error {
	h := Head{Revision: revision}
	for _, f := range files {
		hash := HashOf(f.Text)
		h.Files = append(h.Files, Entry{Name: f.Name, Hash: hash})
		object, err := objapi.Encode(filePrefix+string(hash), objapi.Object{}, fileValue{Text: f.Text})
		if err != nil {
			return fmt.Errorf("encode configuration file %s: %w", f.Name, err)
		}
		if _, err := store.Put(ctx, object); err != nil && !errors.Is(err, objapi.ErrConflict) {
			return fmt.Errorf("write configuration file %s: %w", f.Name, err)
		}
	}
	object, err := objapi.Encode(Key, previous, h)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	if _, err := store.Put(ctx, object); err != nil {
		return fmt.Errorf("write configuration head: %w", err)
	}
	return nil
}
