// Package head publishes configuration folders to the platform and follows them.
package head

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/plat"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// Key is the key of the object that names the accepted configuration.
	Key = "config/head"

	filePrefix = "config/file/"
)

// Hash identifies the text of a file. The empty hash stands for no file.
type Hash string

// HashOf returns the hash of the text.
func HashOf(text string) Hash {
	sum := sha256.Sum256([]byte(text))
	return Hash(hex.EncodeToString(sum[:]))
}

// Entry names one file of an accepted configuration.
type Entry struct {
	Name string `json:"name"`
	Hash Hash   `json:"hash"`
}

// Head is the value of the head object.
type Head struct {
	Revision units.Revision `json:"revision"`
	Files    []Entry        `json:"files"`
}

// blob is the value of a file object.
type blob struct {
	Text string `json:"text"`
}

// read returns the head and its object. Without a head both are zero.
func read(ctx context.Context, store plat.Store) (Head, plat.Object, error) {
	object, err := store.Get(ctx, Key)
	if errors.Is(err, plat.ErrNotFound) {
		return Head{}, plat.Object{}, nil
	}
	if err != nil {
		return Head{}, plat.Object{}, fmt.Errorf("read configuration head: %w", err)
	}
	var h Head
	if err := object.Decode(&h); err != nil {
		return Head{}, plat.Object{}, fmt.Errorf("read configuration head: %w", err)
	}
	return h, object, nil
}

// fetch returns the head's files. Texts that are known already are not read again.
func fetch(ctx context.Context, store plat.Store, h Head, known map[Hash]string) ([]config.File, error) {
	files := make([]config.File, 0, len(h.Files))
	for _, e := range h.Files {
		text, ok := known[e.Hash]
		if !ok {
			read, err := fetchText(ctx, store, e)
			if err != nil {
				return nil, err
			}
			text = read
		}
		files = append(files, config.File{Name: e.Name, Text: text})
	}
	config.SortFiles(files)
	return files, nil
}

func fetchText(ctx context.Context, store plat.Store, e Entry) (string, error) {
	object, err := store.Get(ctx, filePrefix+string(e.Hash))
	if err != nil {
		return "", fmt.Errorf("read configuration file %s: %w", e.Name, err)
	}
	var b blob
	if err := object.Decode(&b); err != nil {
		return "", fmt.Errorf("read configuration file %s: %w", e.Name, err)
	}
	if HashOf(b.Text) != e.Hash {
		return "", fmt.Errorf("read configuration file %s: %w: content does not match its hash", e.Name, plat.ErrBadObject)
	}
	return b.Text, nil
}

// write stores the files and then the head, if the head is still the previous object.
func write(
	ctx context.Context, store plat.Store, previous plat.Object, revision units.Revision, files []config.File,
) error {
	h := Head{Revision: revision}
	for _, f := range files {
		hash := HashOf(f.Text)
		h.Files = append(h.Files, Entry{Name: f.Name, Hash: hash})
		object, err := plat.Encode(filePrefix+string(hash), plat.Object{}, blob{Text: f.Text})
		if err != nil {
			return fmt.Errorf("encode configuration file %s: %w", f.Name, err)
		}
		if _, err := store.Put(ctx, object); err != nil && !errors.Is(err, plat.ErrConflict) {
			return fmt.Errorf("write configuration file %s: %w", f.Name, err)
		}
	}
	object, err := plat.Encode(Key, previous, h)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	if _, err := store.Put(ctx, object); err != nil {
		return fmt.Errorf("write configuration head: %w", err)
	}
	return nil
}
