// Package tunnel passes connections to engines on, for processes that do not reach the engines themselves.
package tunnel

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/buckthorntrack/buckthorntrack/reach"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// Path is the path at which processes ask for connections.
	Path = "/tunnel"
	// keyHeader carries the key that all processes share.
	keyHeader = "Buckthorntrack-Key"
	// handshakeTimeout bounds the wait for the request on a new connection between processes.
	handshakeTimeout = time.Second
	// engineTimeout bounds the dial of an engine on behalf of another process.
	engineTimeout = 500 * time.Millisecond
	// dialTimeout bounds the connection to a process, with its dial of the engine.
	dialTimeout = handshakeTimeout
	// writeTimeout bounds a write to a process or an engine that takes no bytes.
	writeTimeout = 10 * time.Second
	// chunkBytes is the most bytes of a connection in one message.
	chunkBytes = 8 << 10
	// maxHandshakeBytes bounds the request for a connection and the answer to it.
	maxHandshakeBytes = 1 << 10
	// maxHeadBytes bounds the head of the answer to a handshake.
	maxHeadBytes = 16 << 10
)

// Status codes by which a process tells how a connection to an engine has ended. That of a connection that the engine has
// closed is websocket.StatusNormalClosure.
const (
	statusEngineFailed websocket.StatusCode = 4000 + iota
	statusPathLost
)

// Reason says why a process does not pass a connection on.
type Reason string

// The reasons.
const (
	ReasonIsolated    Reason = "isolated"    // the process reaches no engine, or is stopping
	ReasonUnreachable Reason = "unreachable" // the process has not connected to this engine
	ReasonBusy        Reason = "busy"        // the process passes as many connections on as it may
	ReasonUnknown     Reason = "unknown"     // the address is not one of an engine
)

// ErrRefused is wrapped by each RefusedError.
var ErrRefused = errors.New("tunnel: process refuses to pass the connection on")

// RefusedError is the error of a dial that the other process has answered.
type RefusedError struct {
	Process string
	Reason  Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v: process %s: %s", ErrRefused, e.Process, e.Reason)
}

// Unwrap returns ErrRefused, and reach.ErrEngineUnreachable if the process may pass connections to other engines on.
func (e *RefusedError) Unwrap() []error {
	if e.Reason == ReasonUnreachable || e.Reason == ReasonUnknown {
		return []error{ErrRefused, reach.ErrEngineUnreachable}
	}
	return []error{ErrRefused}
}

var errMalformed = errors.New("tunnel: message is malformed")

// decodeRequest returns the address of the engine in a request for a connection.
func decodeRequest(data []byte) (engine string, err error) {
	var f wire.Frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return "", fmt.Errorf("%w: %w", errMalformed, err)
	}
	if f.Tunnel == nil || f.Tunnel.Engine == "" {
		return "", errMalformed
	}
	return f.Tunnel.Engine, nil
}

// decodeAnswer returns the reason for a refusal, empty if the process has connected to the engine.
func decodeAnswer(data []byte) (Reason, error) {
	var f wire.Frame
	if err := cbor.Unmarshal(data, &f); err != nil {
		return "", fmt.Errorf("%w: %w", errMalformed, err)
	}
	if f.TunnelAnswer == nil {
		return "", errMalformed
	}
	return Reason(f.TunnelAnswer.Reason), nil
}

func writeFrame(ctx context.Context, ws *websocket.Conn, f wire.Frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, data)
}
