package plat

import (
	"net/http"
	"net/url"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// Request is one call to a platform in the platform's own format.
type Request struct {
	Method string
	Path   string // escaped, with a leading slash
	Query  url.Values
	Body   []byte // nil for none
}

// Page is a part of a list.
type Page struct {
	Version units.Version // of the store when the page was read
	Objects []Object
	After   string // where the next page begins, empty on the last one
}

// Dialect is the format in which a platform's object API takes calls and answers. It decides nothing.
type Dialect interface {
	Get(key string) Request
	List(prefix, after string) Request
	Put(o Object, expected units.Version) (Request, error)
	Delete(key string, version units.Version) Request
	Watch(prefix string, from units.Version, wait time.Duration) Request

	Object(key string, body []byte) (Object, error)
	Page(prefix string, body []byte) (Page, error)
	Change(prefix string, body []byte) (Change, error)
}

// statusError returns the error that a status of the platform stands for.
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
