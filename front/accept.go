package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/memory"
	"github.com/buckthorntrack/buckthorntrack/proxy"
)

const (
	// memoryNumerator and memoryDenominator give the part of the process's memory that requests share. The rest is for connections
	// without a request, the collector and what the process knows.
	memoryNumerator, memoryDenominator = 2, 5
	// defaultBodyBytes is the body size limit if the configuration sets none.
	defaultBodyBytes = 4 << 20
	// heldBodyBytes is the part of a body for which a request has room from its start.
	heldBodyBytes = 16 << 10
	// bodyStep is the memory by which a body of unknown length grows.
	bodyStep = 256 << 10
	// roomTimeout bounds the wait of a request for room. It is not read meanwhile.
	roomTimeout = 200 * time.Millisecond
	// noRoomRetryAfter is the Retry-After time of a request that found no room.
	noRoomRetryAfter = 250 * time.Millisecond
)

// newMemory returns the memory that requests share, of a process that may use a number of megabytes.
func newMemory(megabytes int64) *memory.Budget {
	return memory.New(megabytes << 20 * memoryNumerator / memoryDenominator)
}

// acceptStage parses the headers of a request and reads its body once there is room for it.
type acceptStage struct {
	format proxy.Format
	memory *memory.Budget
}

// String implements stage.
func (*acceptStage) String() string { return "accept" }

// Run implements stage.
func (s *acceptStage) Run(x *proxy.Exchange) error {
	in, err := s.format.Inbound(x.Request)
	x.Inbound = in
	if err != nil {
		return fault.Bad("header", "%v", err)
	}
	limit := bodyLimit(x.Config.Bounds.BodyBytes)
	if x.Request.ContentLength > limit {
		return errBodyTooLong(limit)
	}
	ctx, cancel := context.WithTimeout(x.Context, roomTimeout)
	defer cancel()
	x.Memory, err = s.memory.Hold(ctx, proxy.RequestBytes)
	if err == nil {
		err = x.Memory.Wait(ctx, x.Request.ContentLength-heldBodyBytes)
	}
	if err == nil {
		x.Body, err = s.read(x, limit)
	}
	switch {
	case errors.Is(err, memory.ErrNoRoom):
		x.Writer.Header().Set("Connection", "close") // the body is not read
		return fault.Unavailable(fault.CodeOverloaded, noRoomRetryAfter, "no memory is left for the request").Wrap(err)
	case err != nil:
		return fault.New(fault.NotRun, fault.CodeBadRequest, http.StatusBadRequest, "body cannot be read").Wrap(err)
	case int64(len(x.Body)) > limit:
		return errBodyTooLong(limit)
	}
	return nil
}

func errBodyTooLong(limit int64) error {
	return fault.New(fault.NotRun, fault.CodeTooLarge, http.StatusRequestEntityTooLarge, "body exceeds %d bytes", limit)
}

// read reads the body, up to one byte more than the limit. Memory is held for a body of known length.
func (s *acceptStage) read(x *proxy.Exchange, limit int64) ([]byte, error) {
	if length := x.Request.ContentLength; length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(x.Request.Body, body)
		return body, err
	}
	var body []byte
	for step := int64(heldBodyBytes); int64(len(body)) <= limit; step = bodyStep {
		if step > heldBodyBytes {
			if err := s.grow(x); err != nil {
				return nil, err
			}
		}
		part := make([]byte, min(step, limit+1-int64(len(body))))
		n, err := io.ReadFull(x.Request.Body, part)
		body = append(body, part[:n]...)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// grow holds memory for another part of a body of unknown length, twice as much as that is copied.
func (*acceptStage) grow(x *proxy.Exchange) error {
	ctx, cancel := context.WithTimeout(x.Context, roomTimeout)
	defer cancel()
	return x.Memory.Wait(ctx, 2*bodyStep)
}
