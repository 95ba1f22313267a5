package objapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// native is the Dialect of the stand-in platform.
type native struct{}

// Get implements Dialect.
func (native) Get(key string) Request {
	return Request{Method: http.MethodGet, Path: "/objects/" + key}
}

// List implements Dialect.
func (native) List(prefix, _ string) Request {
	return Request{Method: http.MethodGet, Path: "/list", Query: url.Values{"prefix": {prefix}}}
}

// Put implements Dialect.
func (native) Put(o Object, expected units.Version) (Request, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Request{}, fmt.Errorf("encode object: %w", err)
	}
	return Request{Method: http.MethodPut, Path: "/objects/" + o.Key, Query: versionQuery(expected), Body: body}, nil
}

// Delete implements Dialect.
func (native) Delete(key string, version units.Version) Request {
	return Request{Method: http.MethodDelete, Path: "/objects/" + key, Query: versionQuery(version)}
}

// Watch implements Dialect.
func (native) Watch(prefix string, from units.Version, wait time.Duration) Request {
	return Request{Method: http.MethodGet, Path: "/watch", Query: url.Values{
		"prefix": {prefix},
		"from":   {strconv.FormatInt(int64(from), 10)},
		"wait":   {wait.String()},
	}}
}

// Object implements Dialect.
func (native) Object(_ string, body []byte) (Object, error) {
	var o Object
	err := json.Unmarshal(body, &o)
	return o, err
}

// Page implements Dialect. The stand-in sends each list as a single page, without the store's version.
func (native) Page(_ string, body []byte) (Page, error) {
	var p Page
	err := json.Unmarshal(body, &p.Objects)
	return p, err
}

// Change implements Dialect.
func (native) Change(_ string, body []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(body, &c)
	return c, err
}

func versionQuery(version units.Version) url.Values {
	return url.Values{"version": {strconv.FormatInt(int64(version), 10)}}
}

// Stale implements Dialect. The stand-in has no such reads.
func (native) Stale(r Request) Request { return r }

// Era implements Dialect. The stand-in never repeats a version.
func (native) Era(http.Header) units.Era { return 0 }
