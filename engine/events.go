package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	eventBufferBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

var (
	dataField = []byte("data: ")
	idField   = []byte("id: ")

	errEventTooLarge = errors.New("event is too large")
)

// eventReader reads one stream of tokens in the format of server-sent events.
type eventReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel func()
	data   []byte       // data of the current event
	next   units.Tokens // index of the next token
}

// NewEvents returns the stream of tokens in the body. Close calls cancel.
func NewEvents(body io.ReadCloser, cancel func()) Events {
	return &eventReader{body: body, reader: bufio.NewReaderSize(body, eventBufferBytes), cancel: cancel}
}

// Next implements Events. An event without an id has the index after that of the previous event.
func (e *eventReader) Next() (Event, error) {
	e.data = e.data[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, fault.New(fault.MayHaveRun, fault.CodeUpstreamDied, http.StatusBadGateway,
				"stream ended without its end marker").Wrap(err)
		}
		switch {
		case bytes.HasPrefix(line, idField):
			index, err := strconv.ParseInt(string(line[len(idField):]), 10, 64)
			if err != nil {
				return Event{}, fmt.Errorf("parse event id: %w", err)
			}
			e.next = units.Tokens(index)
		case bytes.HasPrefix(line, dataField):
			e.data = append(e.data, line[len(dataField):]...)
		case len(line) == 0 && len(e.data) > 0:
			return e.event(), nil
		}
	}
}

// Buffered implements Events.
func (e *eventReader) Buffered() bool {
	return e.reader.Buffered() > 0
}

// Close implements Events.
func (e *eventReader) Close() {
	e.cancel()
	_ = e.body.Close()
}

// event returns the event with the collected data.
func (e *eventReader) event() Event {
	if string(e.data) == DoneData {
		return Event{Done: true, Data: e.data}
	}
	index := e.next
	e.next++
	return Event{Index: index, Data: e.data}
}

// readLine returns the next line without its line break, valid until the next read.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return e.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine returns a line that does not fit into the buffer. It fails if the line is longer than maxEventBytes.
func (e *eventReader) readLongLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= maxEventBytes {
		part, err := e.reader.ReadSlice('\n')
		long = append(long, part...)
		if err == nil {
			return bytes.TrimRight(long, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	return nil, errEventTooLarge
}
