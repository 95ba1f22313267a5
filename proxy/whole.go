package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

const (
	// RequestBytes is the memory that a request holds from its start without its body: its connections, the head of an answer, and
	// heldAnswerBytes of its body or of an event.
	RequestBytes = 64 << 10
	// heldAnswerBytes is the part of an answer for which a request has room from its start.
	heldAnswerBytes = 16 << 10
	// bufferFactor is the memory that a buffer for a large answer counts for, in its size: the collector frees the one before it late.
	bufferFactor = 2
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 1 << 20
)

// passWhole passes a success, or another signed answer with a status below 500, to the caller. It returns any other
// answer as a failure, since another engine may succeed, and keeps a signed server error as the fallback answer.
// Statuses that imply that the request did not run are never passed on, and no answer is once a stream has started.
// An answer for which there is no room is passed on as it arrives, be it a server error, and is not repeated if it breaks off.
func (r *run) passWhole(response *http.Response, reply Reply) error {
	body, whole, err := r.readWhole(response)
	if err != nil {
		return err
	}
	answer := &bufferedAnswer{status: response.StatusCode, header: reply.Header, body: body}
	passable := reply.Signed && !impliesNotRun(answer.status) && !r.answerStarted
	if passable && !whole {
		return r.passRest(answer, response)
	}
	if isSuccess(answer.status) && !r.answerStarted {
		defer recycle(body)
		return r.deliver(answer)
	}
	if reply.Signed && !impliesNotRun(answer.status) {
		r.fallback = answer
		if answer.status < http.StatusInternalServerError && !r.answerStarted {
			return r.deliver(answer)
		}
	}
	return fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway, "upstream answered with status %d", answer.status)
}

// readWhole reads the body of an answer as far as there is room for it, and reports whether that is the whole body.
func (r *run) readWhole(response *http.Response) (body []byte, whole bool, err error) {
	if response.ContentLength > maxAnswerBytes {
		return nil, false, errAnswerTooLong()
	}
	body = make([]byte, 0, min(max(response.ContentLength+1, minReadBytes), heldAnswerBytes))
	for {
		if len(body) == cap(body) {
			larger, ok := r.enlarge(body, response.ContentLength)
			if !ok {
				return body, false, nil
			}
			body = larger
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxAnswerBytes:
			recycle(body)
			return nil, false, errAnswerTooLong()
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			recycle(body)
			return nil, false, sendError(r.ctx, true, err)
		}
	}
}

// minReadBytes is the least size of a buffer for an answer.
const minReadBytes = 512

// enlarge returns a copy of the buffer with more room, or false if there is none.
func (r *run) enlarge(body []byte, length int64) ([]byte, bool) {
	size := min(2*int64(cap(body)), maxAnswerBytes+1)
	if length >= 0 {
		size = length + 1
	}
	if size > heldAnswerBytes && !r.x.Memory.Grow(bufferFactor*size) {
		return nil, false
	}
	larger := append(newBuffer(size), body...)
	if cap(body) > heldAnswerBytes {
		r.x.Memory.Shrink(bufferFactor * int64(cap(body)))
		recycle(body)
	}
	return larger, true
}

// passRest passes an answer on of which a part has been read.
func (r *run) passRest(read *bufferedAnswer, response *http.Response) error {
	r.log.Info().Str("request", string(r.x.Inbound.ID)).Int("status", read.status).Int("read", len(read.body)).
		Msg("proxy: no room for the answer, passing it on as it arrives")
	if err := r.deliver(read); err != nil {
		return err
	}
	controller, total, part := http.NewResponseController(r.x.Writer), len(read.body), read.body[:cap(read.body)]
	for {
		n, err := response.Body.Read(part)
		if total += n; total > maxAnswerBytes {
			return errAnswerTooLong()
		}
		if deadlineErr := controller.SetWriteDeadline(r.clock().Add(writeTimeout)); deadlineErr != nil {
			return callerError(deadlineErr)
		}
		if _, writeErr := r.x.Writer.Write(part[:n]); writeErr != nil {
			return callerError(writeErr)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return sendError(r.ctx, true, err)
		}
	}
}

// readSmall reads a body that fits what a request holds from its start.
func readSmall(ctx context.Context, response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, heldAnswerBytes+1))
	if err != nil {
		return nil, sendError(ctx, true, err)
	}
	if len(body) > heldAnswerBytes {
		return nil, errAnswerTooLong()
	}
	return body, nil
}

func errAnswerTooLong() error {
	return fault.New(fault.Ran, fault.CodeUpstreamFailed, http.StatusBadGateway, "upstream answered with more than it may")
}

// impliesNotRun reports whether callers conclude from the status that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

func (r *run) deliver(a *bufferedAnswer) error {
	copyHeader(r.x.Writer.Header(), a.header)
	r.startAnswer(a.status)
	if _, err := r.x.Writer.Write(a.body); err != nil {
		return &fault.TruncatedError{Err: fault.New(fault.Ran, fault.CodeCanceled, http.StatusBadGateway,
			"caller did not accept the answer").Wrap(err)}
	}
	return nil
}
