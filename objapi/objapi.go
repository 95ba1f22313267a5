// Package objapi is a client of the platform's object API and of its list of VMs.
package objapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// maxWriteIDs is the number of write ids kept in an object.
const maxWriteIDs = 8

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object is not at the expected version and that the write did not take effect.
	ErrConflict = errors.New("object is not at the expected version")
	// ErrUnavailable means that the platform could not be reached or gave no usable answer.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnresolved means that it is unknown whether a write took effect.
	ErrUnresolved = errors.New("write has an unknown outcome")
	// ErrGone means that the platform no longer has the history after the version that a watch asked for.
	ErrGone = errors.New("history is gone")
	// ErrEarlierEra means that an answer is from before the store came back from a copy. It wraps ErrUnavailable.
	ErrEarlierEra = fmt.Errorf("%w: answer is from an earlier era of the store", ErrUnavailable)
	// ErrBadObject means that an object's value cannot be decoded or fails a check.
	ErrBadObject = errors.New("object is malformed")
)

// Object is one object of the platform's store.
type Object struct {
	Key      string          `json:"key"`
	Version  units.Version   `json:"version"` // zero on a write: create the object, fail if it exists
	WriteIDs []string        `json:"writes"`  // ids of the latest writes, newest last
	Value    json.RawMessage `json:"value"`
}

// hasWrite reports whether the write with the id is among the latest writes.
func (o Object) hasWrite(writeID string) bool {
	return slices.Contains(o.WriteIDs, writeID)
}

// Decode decodes the object's value into v. Errors wrap ErrBadObject.
func (o Object) Decode(v any) error {
	if err := json.Unmarshal(o.Value, v); err != nil {
		return errors.Join(ErrBadObject, err)
	}
	return nil
}

// in returns the object with its version in an era.
func (o Object) in(e units.Era) Object {
	o.Version = o.Version.In(e)
	return o
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs. The list may be out of date.
type VM struct {
	Name    units.VMName    `json:"name"`
	Place   units.PlaceName `json:"place"`
	State   VMState         `json:"state"`
	Process string          `json:"process,omitempty"` // name of the entry process on the VM, empty for upstreams
	Address string          `json:"address,omitempty"` // peer address of the entry process
}

// Change is the result of a watch.
type Change struct {
	Version units.Version `json:"version"`           // version from which to continue the watch
	Objects []Object      `json:"objects"`           // changed objects in their current state
	Deleted []string      `json:"deleted,omitempty"` // keys of removed objects
	Newest  units.Version `json:"newest,omitempty"`  // greatest version among changed and removed objects
}

// in returns the change with all its versions in an era.
func (c Change) in(e units.Era) Change {
	c.Version, c.Newest = c.Version.In(e), c.Newest.In(e)
	for i := range c.Objects {
		c.Objects[i] = c.Objects[i].in(e)
	}
	return c
}

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d", e.Status)
}

// Is makes every StatusError match ErrUnavailable.
func (e *StatusError) Is(target error) bool {
	return target == ErrUnavailable
}

// Store is the platform's object API.
type Store interface {
	// Get returns one object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key has the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes the object if it is still at o.Version, and returns ErrConflict otherwise. If the answer is lost, Put
	// finds out whether the write took effect, or returns ErrUnresolved.
	Put(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if it is still at the version.
	Delete(ctx context.Context, key string, version units.Version) error
	// Watch waits for objects under the prefix that are newer than the version. It returns an empty change if the wait
	// ends without one.
	Watch(ctx context.Context, prefix string, from units.Version) (Change, error)
	// VMs returns the platform's list of live and leaving VMs.
	VMs(ctx context.Context) ([]VM, error)
}

// Encode returns an object with the value v for a conditional write: Put succeeds only if the stored object is still
// the previous one. The zero Object as previous means that the object must not exist.
func Encode(key string, previous Object, v any) (Object, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: previous.Version, WriteIDs: previous.WriteIDs, Value: value}, nil
}
