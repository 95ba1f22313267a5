package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// Pool holds the connections to upstreams.
type Pool struct {
	kept  *http.Transport // keeps connections for further calls
	fresh *http.Transport // opens a connection for each call
}

// Transport returns a pool of connections to upstreams that connects with the dial function, and a function that closes
// its idle connections.
func Transport(dial func(ctx context.Context, network, address string) (net.Conn, error)) (*Pool, func()) {
	options := links.Options{
		Identify: func(head *http.Response) units.RequestID { return units.RequestID(head.Header.Get(HeaderRequestID)) },
		OnStale:  func(links.Stale) {}, ExactWrites: true,
	}
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return links.New(conn, options), nil
			},
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		}
	}
	p := &Pool{kept: newTransport(), fresh: newTransport()}
	p.fresh.DisableKeepAlives = true
	return p, p.kept.CloseIdleConnections
}

// withTrace returns a context with which the call learns its connections.
func withTrace(ctx context.Context, s *links.Sending) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.Begin(info.Conn) }})
}

// proves reports whether an answer that names a call, empty for none, can only be the answer to the call with the id.
func proves(named, id units.RequestID, use links.Use) bool {
	return named == id || named == "" && use.Request == 1
}
