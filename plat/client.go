package plat

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

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wait"
)

const (
	// CallTimeout bounds one call to the platform, watches excepted.
	CallTimeout = time.Second
	// WatchWait is how long the platform holds a watch open.
	WatchWait = 20 * time.Second
	// PlaceHeader names the availability zone of the process that calls.
	PlaceHeader = "X-Place"
	// MaxObjectBytes bounds the body of an answer.
	MaxObjectBytes = 16 << 20
)

// Client is a Store behind HTTP.
type Client struct {
	base    *url.URL
	http    *http.Client
	dialect Dialect
	wait    time.Duration // how long the platform holds a watch open
}

// Options are what a client can be made with.
type Options struct {
	Dialect   Dialect       // format of the platform, the stand-in's by default
	WatchWait time.Duration // how long the platform holds a watch open, WatchWait by default
}

// New returns a client of the object API at the base address, and a function that closes idle connections.
func New(base string, transport http.RoundTripper) (*Client, func(), error) {
	return NewWith(base, transport, Options{Dialect: native{}, WatchWait: WatchWait})
}

// NewWith returns a client with the given options, and a function that closes idle connections.
func NewWith(base string, transport http.RoundTripper, o Options) (*Client, func(), error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, nil, fmt.Errorf("parse platform address: %w", err)
	}
	client := &http.Client{Transport: transport}
	return &Client{base: u, http: client, dialect: o.Dialect, wait: o.WatchWait}, client.CloseIdleConnections, nil
}

// Get returns one object or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return call(ctx, c, c.dialect.Get(key), c.object(key))
}

// List returns all objects whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	listed, err := c.Snapshot(ctx, prefix)
	return listed.Objects, err
}

// Snapshot returns all objects whose key has the prefix, and the version from which to watch on.
func (c *Client) Snapshot(ctx context.Context, prefix string) (Change, error) {
	var listed Change
	for after := ""; ; {
		page, err := call(ctx, c, c.dialect.List(prefix, after), func(body []byte) (Page, error) {
			return c.dialect.Page(prefix, body)
		})
		if err != nil {
			return Change{}, err
		}
		if after == "" {
			listed.Version = page.Version // what changed between two pages is watched again
		}
		listed.Objects = append(listed.Objects, page.Objects...)
		if page.After == "" {
			return listed, nil
		}
		after = page.After
	}
}

// VMs returns the list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	return call(ctx, c, Request{Method: http.MethodGet, Path: "/vms"}, func(body []byte) ([]VM, error) {
		var vms []VM
		err := json.Unmarshal(body, &vms)
		return vms, err
	})
}

// Delete removes the object if it is still at the version. It reports success also when the object is gone.
func (c *Client) Delete(ctx context.Context, key string, version units.Version) error {
	_, err := call(ctx, c, c.dialect.Delete(key, version), ignoreBody)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes under the prefix after the version.
func (c *Client) Watch(ctx context.Context, prefix string, from units.Version) (Change, error) {
	return c.WatchFor(ctx, prefix, from, c.wait)
}

// WatchFor waits for changes at most for the given time.
func (c *Client) WatchFor(ctx context.Context, prefix string, from units.Version, wait time.Duration) (Change, error) {
	request := c.dialect.Watch(prefix, from, wait)
	return callWithin(ctx, c, wait+CallTimeout, request, func(body []byte) (Change, error) {
		return c.dialect.Change(prefix, body)
	})
}

// Put writes the object if it is still at o.Version. After a lost answer it repeats the same
// conditional write, which takes effect at most once, until the outcome is known or ctx ends.
func (c *Client) Put(ctx context.Context, o Object) (Object, error) {
	writeID := rand.Text()
	expected := o.Version
	o.Writes = appendWrite(o.Writes, writeID)
	lost := false
	for attempt := 0; ; attempt++ {
		written, err := c.put(ctx, o, expected)
		switch {
		case err == nil:
			return written, nil
		case errors.Is(err, ErrConflict):
			if !lost {
				return Object{}, err
			}
			resolved, resolveErr := c.resolve(ctx, o.Key, writeID)
			if !errors.Is(resolveErr, ErrUnavailable) {
				return resolved, resolveErr
			}
		case !errors.Is(err, ErrUnavailable):
			return Object{}, err
		default:
			lost = true
		}
		if !wait.Sleep(ctx, wait.Backoff(attempt)) {
			return Object{}, fmt.Errorf("put %s: %w", o.Key, ErrUnresolved)
		}
	}
}

// resolve tells after a conflict whether the write with the id took effect earlier.
func (c *Client) resolve(ctx context.Context, key, writeID string) (Object, error) {
	current, err := c.Get(ctx, key)
	switch {
	case errors.Is(err, ErrNotFound):
		return Object{}, fmt.Errorf("put %s: %w", key, ErrConflict)
	case err != nil:
		return Object{}, err
	case !current.wroteBy(writeID):
		return Object{}, fmt.Errorf("put %s: %w", key, ErrConflict)
	default:
		return current, nil
	}
}

func (c *Client) put(ctx context.Context, o Object, expected units.Version) (Object, error) {
	request, err := c.dialect.Put(o, expected)
	if err != nil {
		return Object{}, err
	}
	return call(ctx, c, request, c.object(o.Key))
}

// object returns the decoder of one object under the key.
func (c *Client) object(key string) func([]byte) (Object, error) {
	return func(body []byte) (Object, error) { return c.dialect.Object(key, body) }
}

func ignoreBody([]byte) (struct{}, error) { return struct{}{}, nil }

func call[T any](ctx context.Context, c *Client, r Request, decode func([]byte) (T, error)) (T, error) {
	return callWithin(ctx, c, CallTimeout, r, decode)
}

func callWithin[T any](
	ctx context.Context, c *Client, timeout time.Duration, r Request, decode func([]byte) (T, error),
) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := c.exchange(ctx, r)
	if err != nil {
		return none, fmt.Errorf("%s %s: %w", r.Method, r.Path, err)
	}
	answer, err := decode(body)
	if err != nil {
		return none, fmt.Errorf("%s %s: %w: %w", r.Method, r.Path, ErrUnavailable, err)
	}
	return answer, nil
}

func (c *Client) exchange(ctx context.Context, r Request) ([]byte, error) {
	u := c.base.JoinPath(r.Path)
	u.RawQuery = r.Query.Encode()
	request, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	if r.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxObjectBytes))
	if statusErr := statusError(response.StatusCode); statusErr != nil {
		return nil, statusErr
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return body, nil
}

func appendWrite(writes []string, writeID string) []string {
	kept := append([]string(nil), writes...)
	kept = append(kept, writeID)
	if len(kept) > maxWrites {
		kept = kept[len(kept)-maxWrites:]
	}
	return kept
}
