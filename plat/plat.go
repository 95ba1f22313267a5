// Package plat reaches the platform's object API and its list of VMs.
package plat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// maxWrites bounds the write ids that an object remembers.
const maxWrites = 8

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object is not at the expected version, and the write did not take effect.
	ErrConflict = errors.New("object changed meanwhile")
	// ErrUnavailable means that the platform gave no usable answer.
	ErrUnavailable = errors.New("platform is out of reach")
	// ErrUnresolved means that a write may or may not have taken effect.
	ErrUnresolved = errors.New("write has an unknown outcome")
	// ErrGone means that the platform no longer has the history that a watch asked for.
	ErrGone = errors.New("history is gone")
	// ErrBadObject means that an object does not have the expected shape.
	ErrBadObject = errors.New("object is malformed")
)

// Object is one object of the platform's store.
type Object struct {
	Key     string          `json:"key"`
	Version units.Version   `json:"version"` // zero on a write means create if absent
	Writes  []string        `json:"writes"`  // ids of the latest writes, the newest last
	Value   json.RawMessage `json:"value"`
}

// wroteBy reports whether the write with the given id is among the latest.
func (o Object) wroteBy(writeID string) bool {
	return slices.Contains(o.Writes, writeID)
}

// Decode reads the object's value into v.
func (o Object) Decode(v any) error {
	if err := json.Unmarshal(o.Value, v); err != nil {
		return errors.Join(ErrBadObject, err)
	}
	return nil
}

// VMState says whether a VM stays in service.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs, which lags behind reality.
type VM struct {
	Name    units.VMName    `json:"name"`
	Place   units.PlaceName `json:"place"`
	State   VMState         `json:"state"`
	Process string          `json:"process,omitempty"` // name of the entry process, empty for upstreams
	Address string          `json:"address,omitempty"` // peer address of the entry process
}

// Change is the result of a watch.
type Change struct {
	Version units.Version `json:"version"`           // watch on from here
	Objects []Object      `json:"objects"`           // the current state of what changed
	Deleted []string      `json:"deleted,omitempty"` // keys of the objects that were removed
	Newest  units.Version `json:"newest,omitempty"`  // greatest version of an object that changed or was removed
}

// StatusError is an answer of the platform that names no outcome of its own.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d", e.Status)
}

// Is makes every such answer one of an unavailable platform.
func (e *StatusError) Is(target error) bool {
	return target == ErrUnavailable
}

// Store is the platform's object API.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key has the prefix, in the order of keys.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the object if it is still at o.Version. A lost answer is resolved before it returns,
	// or reported as ErrUnresolved.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if it is still at the version.
	Delete(ctx context.Context, key string, version units.Version) error
	// Watch waits until an object under the prefix is newer than the version, or returns an empty change.
	Watch(ctx context.Context, prefix string, from units.Version) (Change, error)
	// VMs returns the list of live and leaving VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Encode returns an object for a write of v at the version of the object read before.
// The zero Object as previous means create if absent.
func Encode(key string, previous Object, v any) (Object, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: previous.Version, Writes: previous.Writes, Value: value}, nil
}
