package objapi

import (
	"net/http"
	"net/url"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Request is one HTTP request in the platform's format.
type Request struct {
	Method string
	Path   string // escaped, starts with a slash
	Query  url.Values
	Body   []byte // nil if the request has no body
}

// Page is one page of a list.
type Page struct {
	Version units.Version // version of the store when the page was read
	Objects []Object
	After   string // position after which the next page starts, empty on the last page
}

// Dialect encodes requests to a platform's object API and decodes its answers. It only converts
// formats: retries and conflicts are handled by the Client.
type Dialect interface {
	Get(key string) Request
	List(prefix, after string) Request
	Put(o Object, expected units.Version) (Request, error)
	Delete(key string, version units.Version) Request
	Watch(prefix string, from units.Version, wait time.Duration) Request
	// Stale returns the read with the permission to return outdated objects, which makes it cheaper.
	Stale(r Request) Request

	Object(key string, body []byte) (Object, error)
	Page(prefix string, body []byte) (Page, error)
	Change(prefix string, body []byte) (Change, error)
	// Era returns the era of the store that gave the answer, zero if the answer does not name it. All versions in an answer
	// are of its era; Object, Page and Change leave the era out.
	Era(header http.Header) units.Era
}

// statusError returns the error for an HTTP status of the platform, nil for success.
func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrGone
	default:
		return &StatusError{Status: status}
	}
}
