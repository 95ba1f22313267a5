package objapi

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/buckthorntrack/buckthorntrack/heads"
	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// CallTimeout bounds one call to the platform. A watch may take this long in addition to its wait.
	CallTimeout = time.Second
	// WatchWait is how long the platform holds a watch open by default.
	WatchWait = 20 * time.Second
	// PlaceHeader is the header with the availability zone of the calling process.
	PlaceHeader = "X-Place"
	// MaxObjectBytes bounds the part of an answer's body that is read, and the objects of a list.
	MaxObjectBytes = 16 << 20
	// freeAnswerBytes is the part of an answer's body that calls read beside each other. Few answers are longer, and these are read
	// and decoded one at a time.
	freeAnswerBytes = 1 << 20
)

var (
	errListTooLong   = errors.New("list is too long")
	errAnswerTooLong = errors.New("answer is too long")
)

// Client implements Store over HTTP.
type Client struct {
	base      *url.URL
	http      *http.Client
	dialect   Dialect
	watchWait time.Duration // how long the platform holds a watch open
	progress  *progress
	large     chan struct{} // holds a value while a long answer is read
}

// Options configures a Client.
type Options struct {
	Dialect   Dialect       // format of the platform's object API
	WatchWait time.Duration // how long the platform holds a watch open
}

// New returns a client of a platform in the stand-in's format at the base URL, and a function that closes its idle
// connections.
func New(base string, transport http.RoundTripper) (*Client, func(), error) {
	return NewWith(base, transport, Options{Dialect: native{}, WatchWait: WatchWait})
}

// NewWith returns a client of the platform at the base URL, and a function that closes its idle connections.
func NewWith(base string, transport http.RoundTripper, o Options) (*Client, func(), error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, nil, fmt.Errorf("parse platform address: %w", err)
	}
	client := &http.Client{Transport: transport}
	return &Client{
		base: u, http: client, dialect: o.Dialect, watchWait: o.WatchWait, progress: newProgress(), large: make(chan struct{}, 1),
	}, client.CloseIdleConnections, nil
}

// Get returns the object or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return call(ctx, c, c.dialect.Get(key), c.objectDecoder(key))
}

// GetStale returns the object as it may have been some seconds ago, or ErrNotFound.
func (c *Client) GetStale(ctx context.Context, key string) (Object, error) {
	return call(ctx, c, c.dialect.Stale(c.dialect.Get(key)), c.objectDecoder(key))
}

// ListStale returns the objects whose key has the prefix as they may have been some seconds ago.
func (c *Client) ListStale(ctx context.Context, prefix string) ([]Object, error) {
	listed, err := c.list(ctx, prefix, c.dialect.Stale, 0)
	return listed.Objects, err
}

// List returns all objects whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	listed, err := c.Snapshot(ctx, prefix)
	return listed.Objects, err
}

// Snapshot returns all objects whose key has the prefix, and the version from which to watch for later changes. A list of a
// store that has come back from a copy meanwhile is read again.
func (c *Client) Snapshot(ctx context.Context, prefix string) (Change, error) {
	exact := func(r Request) Request { return r }
	listed, err := c.list(ctx, prefix, exact, c.progress.newestVersion())
	if errors.Is(err, ErrEarlierEra) {
		return c.list(ctx, prefix, exact, 0) // whatever its version: a wrong one in an answer must not end all lists
	}
	return listed, err
}

// list reads all pages of the objects whose key has the prefix, with modified requests. Pages are not used if they are older
// than the version, which the store had before: it has named its era and come back from a copy before it read them.
func (c *Client) list(ctx context.Context, prefix string, modify func(Request) Request, atLeast units.Version) (Change, error) {
	var listed Change
	length := 0
	for after := ""; ; {
		page, err := call(ctx, c, modify(c.dialect.List(prefix, after)), func(body []byte, era units.Era) (Page, error) {
			page, err := c.dialect.Page(prefix, body)
			read := Change{Version: page.Version, Objects: page.Objects}.in(era)
			page.Version, page.Objects = read.Version, read.Objects
			if err == nil {
				c.progress.record(page.Version)
			}
			return page, err
		})
		if err != nil {
			return Change{}, err
		}
		if after == "" {
			listed.Version = page.Version // of the first page, so that the watch repeats changes between the pages
		}
		if page.Version != 0 && page.Version < max(atLeast, listed.Version) || page.Version.Era() != listed.Version.Era() {
			return Change{}, fmt.Errorf("list %s: %w", prefix, ErrEarlierEra) // pages of two eras do not belong together
		}
		for i := range page.Objects {
			length += len(page.Objects[i].Key) + len(page.Objects[i].Value)
		}
		if length > MaxObjectBytes || page.After != "" && page.After == after {
			return Change{}, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, errListTooLong)
		}
		listed.Objects = append(listed.Objects, page.Objects...)
		if page.After == "" {
			return listed, nil
		}
		after = page.After
	}
}

// VMs returns the platform's list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	return call(ctx, c, Request{Method: http.MethodGet, Path: "/vms"}, func(body []byte, _ units.Era) ([]VM, error) {
		var vms []VM
		err := json.Unmarshal(body, &vms)
		return vms, err
	})
}

// Delete removes the object if it is still at the version. It returns no error if the object does not exist.
func (c *Client) Delete(ctx context.Context, key string, version units.Version) error {
	if c.isOfEarlierEra(version) {
		return fmt.Errorf("delete %s: %w", key, ErrConflict)
	}
	_, err := call(ctx, c, c.dialect.Delete(key, version), ignoreBody)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes under the prefix after the version, at most for the client's default time.
func (c *Client) Watch(ctx context.Context, prefix string, from units.Version) (Change, error) {
	return c.WatchFor(ctx, prefix, from, c.watchWait)
}

// WatchFor waits for changes under the prefix after the version, at most for the given time. It returns ErrGone as soon as the
// store is known to have come back from a copy since the version: the changes that the copy lacks are not among those after it.
func (c *Client) WatchFor(ctx context.Context, prefix string, from units.Version, wait time.Duration) (Change, error) {
	gone := func() bool { return from.Era() < c.progress.latestEra() }
	if gone() {
		return Change{}, fmt.Errorf("watch %s: %w", prefix, ErrGone)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if c.progress.awaitLater(ctx, from.Era()) {
			cancel()
		}
	}()
	request := c.dialect.Watch(prefix, from, wait)
	change, err := callWithin(ctx, c, wait+CallTimeout, request, func(body []byte, era units.Era) (Change, error) {
		change, err := c.dialect.Change(prefix, body)
		return change.in(era), err
	})
	if gone() || err == nil && change.Version.Era() != from.Era() {
		return Change{}, fmt.Errorf("watch %s: %w", prefix, ErrGone)
	}
	if err == nil {
		c.progress.record(change.Version, change.Newest)
	}
	return change, err
}

// isOfEarlierEra reports whether the store came back from a copy since it gave out the version. The same revision may then
// belong to another state.
func (c *Client) isOfEarlierEra(version units.Version) bool {
	return version != 0 && version.Era() < c.progress.latestEra()
}

// Put writes the object if it is still at o.Version. If the answer is lost, it repeats the same conditional write,
// which takes effect at most once, until the outcome is known. If ctx ends first, it returns ErrUnresolved.
func (c *Client) Put(ctx context.Context, o Object) (Object, error) {
	writeID := rand.Text()
	expected := o.Version
	o.WriteIDs = appendWriteID(o.WriteIDs, writeID)
	answerLost := false
	for attempt := 0; ; attempt++ {
		written, err := c.putOnce(ctx, o, expected, writeID)
		switch {
		case err == nil:
			return written, nil
		case errors.Is(err, ErrConflict):
			if !answerLost {
				return Object{}, err
			}
			resolved, resolveErr := c.resolveConflict(ctx, o.Key, writeID, expected)
			if !errors.Is(resolveErr, ErrUnavailable) {
				return resolved, resolveErr
			}
		case !errors.Is(err, ErrUnavailable):
			return Object{}, err
		default:
			answerLost = true
		}
		if !wait.Sleep(ctx, wait.Backoff(attempt)) {
			return Object{}, fmt.Errorf("put %s: %w", o.Key, ErrUnresolved)
		}
	}
}

// resolveConflict finds out whether an earlier attempt at the write took effect: it returns the object if the write's
// id is in it, and ErrConflict otherwise.
func (c *Client) resolveConflict(ctx context.Context, key, writeID string, expected units.Version) (Object, error) {
	current, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return Object{}, fmt.Errorf("put %s: %w", key, ErrConflict)
	case err != nil:
		return Object{}, err
	case !current.hasWrite(writeID), replacesAnotherEra(current, expected):
		return Object{}, fmt.Errorf("put %s: %w", key, ErrConflict)
	default:
		return current, nil
	}
}

// putOnce writes the object once. A write that the store accepted in another era than that of the expected version has
// replaced another state than the expected one, so it counts as a conflict.
func (c *Client) putOnce(ctx context.Context, o Object, expected units.Version, writeID string) (Object, error) {
	if c.isOfEarlierEra(expected) {
		return Object{}, fmt.Errorf("put %s: %w", o.Key, ErrConflict)
	}
	request, err := c.dialect.Put(o, expected)
	if err != nil {
		return Object{}, err
	}
	before := c.progress.newestVersion()
	written, err := call(ctx, c, request, c.objectDecoder(o.Key))
	if err == nil && written.Version < before { // the store has named its era and come back from a copy before it wrote
		return c.resolveConflict(ctx, o.Key, writeID, expected)
	}
	if err == nil && replacesAnotherEra(written, expected) {
		return Object{}, fmt.Errorf("put %s: %w", o.Key, ErrConflict)
	}
	return written, err
}

// replacesAnotherEra reports whether a written object may have replaced another state than the expected one.
func replacesAnotherEra(written Object, expected units.Version) bool {
	return expected != 0 && written.Version.Era() != expected.Era()
}

// objectDecoder returns the function that decodes an answer with the object under the key.
func (c *Client) objectDecoder(key string) func([]byte, units.Era) (Object, error) {
	return func(body []byte, era units.Era) (Object, error) {
		o, err := c.dialect.Object(key, body)
		o = o.in(era)
		if err == nil {
			c.progress.record(o.Version)
		}
		return o, err
	}
}

func ignoreBody([]byte, units.Era) (struct{}, error) { return struct{}{}, nil }

func call[T any](ctx context.Context, c *Client, r Request, decode func([]byte, units.Era) (T, error)) (T, error) {
	return callWithin(ctx, c, CallTimeout, r, decode)
}

// callWithin sends the request and decodes the answer. An answer that cannot be decoded counts as ErrUnavailable.
func callWithin[T any](
	ctx context.Context, c *Client, timeout time.Duration, r Request, decode func([]byte, units.Era) (T, error),
) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer T
	err := c.exchange(ctx, r, func(body []byte, era units.Era) (err error) {
		answer, err = decode(body, era)
		return err
	})
	if err != nil {
		return zero, fmt.Errorf("%s %s: %w", r.Method, r.Path, err)
	}
	return answer, nil
}

// exchange sends the request and decodes the answer's body, of the era of the store.
func (c *Client) exchange(ctx context.Context, r Request, decode func(body []byte, era units.Era) error) error {
	u := c.base.JoinPath(r.Path)
	u.RawQuery = r.Query.Encode()
	request, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return err
	}
	if r.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := heads.Checked(c.http.Do(request))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, release, err := c.readBody(ctx, response)
	defer release()
	statusErr := statusError(response.StatusCode)
	if errors.Is(statusErr, ErrUnavailable) {
		return statusErr
	}
	era := c.dialect.Era(response.Header)
	if !c.progress.recordEra(era) {
		return ErrEarlierEra
	}
	if statusErr != nil {
		return statusErr
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := decode(body, era); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// readBody reads the body of an answer, and waits before it reads more than freeAnswerBytes until no other call holds so much. The
// returned function ends that.
func (c *Client) readBody(ctx context.Context, response *http.Response) (body []byte, release func(), err error) {
	release = func() {}
	body, err = io.ReadAll(io.LimitReader(response.Body, freeAnswerBytes))
	if err != nil || len(body) < freeAnswerBytes {
		return body, release, err
	}
	select {
	case c.large <- struct{}{}:
		release = func() { <-c.large }
	case <-ctx.Done():
		return nil, release, ctx.Err()
	}
	rest, err := io.ReadAll(io.LimitReader(response.Body, MaxObjectBytes-freeAnswerBytes))
	if err == nil && len(body)+len(rest) >= MaxObjectBytes {
		err = errAnswerTooLong
	}
	return append(body, rest...), release, err
}

// Era returns the latest era of the store that an answer named.
func (c *Client) Era() units.Era {
	return c.progress.latestEra()
}

// appendWriteID returns a copy of the ids with the new one, limited to the newest maxWriteIDs.
func appendWriteID(writes []string, writeID string) []string {
	kept := append([]string(nil), writes...)
	kept = append(kept, writeID)
	if len(kept) > maxWriteIDs {
		kept = kept[len(kept)-maxWriteIDs:]
	}
	return kept
}
