// Package links ties answers to requests on connections that stay open. An upstream may write an earlier answer again where the next one is
// due. Only the id that an answer names tells, so no two requests with the same id are sent over one connection.
package links

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// maxRequests bounds the requests of one connection, which remembers their ids.
const maxRequests = 256

// Number identifies a connection within the process.
type Number int64

var lastNumber atomic.Int64

// Options holds the settings of a connection.
type Options struct {
	// Identify returns the id of the request that the head of an answer names, empty for none. Without it no answer is skipped.
	Identify func(head *http.Response) units.RequestID
	// OnStale is told of the answers to earlier requests that are skipped.
	OnStale func(s Stale)
	// ExactWrites says that a write which fails with no bytes written has passed nothing on, as those of TCP sockets do.
	ExactWrites bool
}

// Stale describes an answer to an earlier request of its connection that arrived where the answer to a later one is due.
type Stale struct {
	Conn     Number
	AnswerTo units.RequestID
	Request  units.RequestID // that waits
}

// Conn is a connection that remembers the ids of the requests that were sent over it. Its reads skip answers to earlier requests, and fail
// with an error that wraps heads.ErrMalformed where a line of a head begins with a blank.
type Conn struct {
	net.Conn
	Options
	number   Number
	transfer atomic.Pointer[transfer] // of the request that was sent last

	mu       sync.Mutex
	ids      []uint64        // hashes
	current  units.RequestID // the request that was sent last
	bodiless bool            // a HEAD request was sent, whose answers may have a length and no body

	staleReader
	folds foldScanner
}

// New returns the connection as one that remembers requests.
func New(conn net.Conn, o Options) *Conn {
	return &Conn{Conn: conn, Options: o, number: Number(lastNumber.Add(1))}
}

// Use describes the use of a connection for one request.
type Use struct {
	Conn    Number
	Request int // number of the request on the connection, from 1
}

// Begin records that a request is about to be sent over the connection; Sending.Begin calls it. It returns false if the request must not
// be: one with the same id was, or the connection has carried as many as it remembers.
func (c *Conn) Begin(id units.RequestID, method string) (Use, bool) {
	hash := digest.Sum64(string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ids) >= maxRequests || slices.Contains(c.ids, hash) {
		return Use{}, false
	}
	c.ids = append(c.ids, hash)
	c.current = id
	c.bodiless = c.bodiless || method == http.MethodHead
	c.folds.headDue.Store(true)
	c.expects.Store(0)
	if len(c.ids) > 1 && !c.bodiless && c.Identify != nil {
		c.expects.Store(maxSkipped)
	}
	return Use{Conn: c.number, Request: len(c.ids)}, true
}
