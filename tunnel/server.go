package tunnel

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/reach"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// ServerOptions holds the dependencies of a Server. All functions must be safe for concurrent use.
type ServerOptions struct {
	Key string // shared by all processes
	// Dial connects to an engine directly. Errors of its connections that wrap reach.ErrPathLost are passed on as such.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Allowed reports whether an address is one of an engine.
	Allowed func(address string) bool
	// Ready reports whether this process reaches engines and takes new connections.
	Ready func() bool
	// Limit is the most connections that are passed on at once.
	Limit int
	Log   zerolog.Logger
}

// Server passes connections to engines on for other processes.
type Server struct {
	ServerOptions

	ctx    context.Context
	served atomic.Int64

	mu       sync.Mutex
	closed   bool
	retiring bool
	passages map[*passage]struct{} // that have connected
	running  sync.WaitGroup
}

// NewServer returns a handler of requests for connections, and a function that breaks all connections off and waits for their
// end.
func NewServer(o ServerOptions) (*Server, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ServerOptions: o, ctx: ctx, passages: map[*passage]struct{}{}}
	return s, func() {
		cancel()
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		s.running.Wait()
	}
}

// Served returns the number of connections that are passed on.
func (s *Server) Served() int64 {
	return s.served.Load()
}

// Retire asks the other processes to use none of the connections for a further request, as this process stops.
func (s *Server) Retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.retiring = true
	for p := range s.passages {
		s.running.Go(p.retire)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != Path || subtle.ConstantTimeCompare([]byte(r.Header.Get(keyHeader)), []byte(s.Key)) != 1 {
		http.Error(w, "not found, or wrong key", http.StatusForbidden)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	p := &passage{server: s, ctx: ctx, cancel: cancel}
	if !s.add() {
		http.Error(w, "process is stopping", http.StatusServiceUnavailable)
		return
	}
	defer s.remove()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		s.Log.Debug().Err(err).Msg("tunnel: handshake failed")
		return
	}
	defer func() { _ = ws.CloseNow() }()
	p.ws = ws
	if err := p.serve(); err != nil {
		s.Log.Debug().Err(err).Msg("tunnel: connection is not passed on")
	}
}

// add counts a connection, unless the server has ended.
func (s *Server) add() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.running.Add(1)
	s.served.Add(1)
	return true
}

func (s *Server) remove() {
	s.served.Add(-1)
	s.running.Done()
}

// connected adds a passage to those that are told when the process stops.
func (s *Server) connected(p *passage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passages[p] = struct{}{}
	if s.retiring && !s.closed {
		s.running.Go(p.retire)
	}
}

func (s *Server) ended(p *passage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.passages, p)
}

// passage is one connection that is passed on.
type passage struct {
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	ws     *websocket.Conn
}

// serve connects to the engine and passes bytes on until one end closes. Its error is nil once the engine was connected.
func (p *passage) serve() error {
	ctx := p.ctx
	address, err := p.readRequest(ctx)
	if err != nil {
		return err
	}
	connected := make(chan net.Conn, 1)
	var upward conc.WaitGroup
	defer upward.Wait()
	defer func() { _ = p.ws.CloseNow() }()
	// From here on the other process's end is noticed, during the dial as well.
	upward.Go(func() {
		defer p.cancel()
		p.passUp(ctx, connected)
	})
	engine, reason := p.connect(ctx, address)
	writeCtx, cancelWrite := context.WithTimeout(ctx, writeTimeout)
	defer cancelWrite()
	err = writeFrame(writeCtx, p.ws, wire.Frame{TunnelAnswer: &wire.TunnelAnswer{Reason: string(reason)}})
	if reason != "" {
		p.cancel()
		return errors.Join(fmt.Errorf("%w: %s", ErrRefused, reason), err)
	}
	defer context.AfterFunc(ctx, func() { _ = engine.Close() })()
	defer func() { _ = engine.Close() }()
	if err != nil {
		return err
	}
	connected <- engine
	p.server.connected(p)
	defer p.server.ended(p)
	if status, ok := p.passDown(ctx, engine); ok {
		_ = p.ws.Close(status, "")
	}
	p.cancel()
	return nil
}

func (p *passage) readRequest(ctx context.Context) (engine string, err error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	p.ws.SetReadLimit(maxHandshakeBytes)
	_, data, err := p.ws.Read(ctx)
	if err != nil {
		return "", err
	}
	p.ws.SetReadLimit(chunkBytes)
	return decodeRequest(data)
}

// connect dials the engine, or returns why it does not.
func (p *passage) connect(ctx context.Context, address string) (net.Conn, Reason) {
	s := p.server
	switch {
	case !s.Allowed(address):
		return nil, ReasonUnknown
	case !s.Ready():
		return nil, ReasonIsolated
	case s.served.Load() > int64(s.Limit):
		return nil, ReasonBusy
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	engine, err := s.Dial(ctx, "tcp", address)
	if err != nil {
		s.Log.Debug().Str("address", address).Err(err).Msg("tunnel: engine is not reached")
		return nil, ReasonUnreachable
	}
	return engine, ""
}

// passUp passes the bytes of the other process to the engine until the tunnel ends. A failed write ends nothing: what the engine has sent before must still be read, and reading then shows how its connection ended.
func (p *passage) passUp(ctx context.Context, connected <-chan net.Conn) {
	var engine net.Conn
	buffer := make([]byte, chunkBytes)
	failed := false
	for {
		_, message, err := p.ws.Reader(ctx)
		if err != nil {
			return
		}
		if engine == nil {
			select {
			case engine = <-connected:
			case <-ctx.Done():
				return
			}
		}
		for err == nil {
			var n int
			n, err = message.Read(buffer)
			if n == 0 || failed {
				continue
			}
			_ = engine.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, writeErr := engine.Write(buffer[:n])
			if errors.Is(writeErr, os.ErrDeadlineExceeded) {
				return
			}
			failed = writeErr != nil
		}
		if !errors.Is(err, io.EOF) {
			return
		}
	}
}

// passDown passes the bytes of the engine to the other process until either fails. It returns how the engine's connection ended,
// or false if the other process cannot be told.
func (p *passage) passDown(ctx context.Context, engine net.Conn) (status websocket.StatusCode, ok bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := engine.Read(buffer)
		if n > 0 && !p.send(ctx, buffer[:n]) {
			return 0, false
		}
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return 0, false
		case errors.Is(err, io.EOF):
			return websocket.StatusNormalClosure, true
		case errors.Is(err, reach.ErrPathLost), !p.server.Ready():
			return statusPathLost, true
		default:
			return statusEngineFailed, true
		}
	}
}

// retire sends a text message, which no byte of a connection is in.
func (p *passage) retire() {
	if err := p.ws.Write(p.ctx, websocket.MessageText, nil); err != nil {
		p.server.Log.Debug().Err(err).Msg("tunnel: other process is not told of the stop")
	}
}

func (p *passage) send(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return p.ws.Write(ctx, websocket.MessageBinary, data) == nil
}
