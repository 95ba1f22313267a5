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
	"strconv"
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
	base *url.URL
	http *http.Client
}

// New returns a client of the object API at the base address, and a function that closes idle connections.
func New(base string, transport http.RoundTripper) (*Client, func(), error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, nil, fmt.Errorf("parse platform address: %w", err)
	}
	client := &http.Client{Transport: transport}
	return &Client{base: u, http: client}, client.CloseIdleConnections, nil
}

// Get returns one object or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, "/objects/"+key, nil, nil, &o)
	return o, err
}

// List returns all objects whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.call(ctx, http.MethodGet, "/list", url.Values{"prefix": {prefix}}, nil, &objects)
	return objects, err
}

// VMs returns the list of live and leaving VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.call(ctx, http.MethodGet, "/vms", nil, nil, &vms)
	return vms, err
}

// Delete removes the object if it is still at the version. It reports success also when the object is gone.
func (c *Client) Delete(ctx context.Context, key string, version units.Version) error {
	err := c.call(ctx, http.MethodDelete, "/objects/"+key, versionQuery(version), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes under the prefix after the version.
func (c *Client) Watch(ctx context.Context, prefix string, from units.Version) (Change, error) {
	query := url.Values{
		"prefix": {prefix},
		"from":   {strconv.FormatInt(int64(from), 10)},
		"wait":   {WatchWait.String()},
	}
	var change Change
	err := c.callWithin(ctx, WatchWait+CallTimeout, http.MethodGet, "/watch", query, nil, &change)
	return change, err
}

// Put writes the object if it is still at o.Version. After a lost answer it repeats the same
// conditional write, which takes effect at most once, until the outcome is known or ctx ends.
func (c *Client) Put(ctx context.Context, o Object) (Object, error) {
	writeID := rand.Text()
	expected := o.Version
	o.Writes = appendWrite(o.Writes, writeID)
	lost := false
	for attempt := 0; ; attempt++ {
		var written Object
		err := c.call(ctx, http.MethodPut, "/objects/"+o.Key, versionQuery(expected), o, &written)
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

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body, answer any) error {
	return c.callWithin(ctx, CallTimeout, method, path, query, body, answer)
}

func (c *Client) callWithin(
	ctx context.Context, timeout time.Duration, method, path string, query url.Values, body, answer any,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.request(ctx, method, path, query, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response.StatusCode); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, MaxObjectBytes))
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxObjectBytes)).Decode(answer); err != nil {
		return fmt.Errorf("%s %s: %w: %w", method, path, ErrUnavailable, err)
	}
	return nil
}

func (c *Client) request(
	ctx context.Context, method, path string, query url.Values, body any,
) (*http.Request, error) {
	u := c.base.JoinPath(path)
	u.RawQuery = query.Encode()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode object: %w", err)
		}
		reader = bytes.NewReader(encoded)
	}
	return http.NewRequestWithContext(ctx, method, u.String(), reader)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}

func versionQuery(version units.Version) url.Values {
	return url.Values{"version": {strconv.FormatInt(int64(version), 10)}}
}

func appendWrite(writes []string, writeID string) []string {
	kept := append([]string(nil), writes...)
	kept = append(kept, writeID)
	if len(kept) > maxWrites {
		kept = kept[len(kept)-maxWrites:]
	}
	return kept
}
