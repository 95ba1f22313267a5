package links

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/buckthorntrack/buckthorntrack/digest"
	"github.com/buckthorntrack/buckthorntrack/heads"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	// maxHeldBytes bounds the answer that may be skipped, with its body.
	maxHeldBytes = 16 << 10
	// maxSkipped bounds the answers that are skipped for one request.
	maxSkipped = 4
)

// staleReader holds the state of the reads of a connection, of which there is one at a time.
type staleReader struct {
	// expects is the number of answers that may still be skipped, if the next bytes begin one. Begin sets it for each request; it is zero
	// once the bytes belong to the current request, and they are passed on unread then.
	expects atomic.Int32
	held    []byte // read and not passed on yet
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.folds.err != nil {
		return 0, c.folds.err // the parser of a head may read on after an error
	}
	n, err := c.readCurrent(p)
	if foldErr := c.folds.scan(p[:n]); foldErr != nil {
		return 0, foldErr
	}
	return n, err
}

// readCurrent reads bytes that may belong to the answer to the current request.
func (c *Conn) readCurrent(p []byte) (int, error) {
	for {
		if len(c.held) > 0 && c.expects.Load() == 0 {
			n := copy(p, c.held)
			c.held = c.held[n:]
			if len(c.held) == 0 {
				c.held = nil
			}
			return n, nil
		}
		n, err := c.Conn.Read(p)
		if c.expects.Load() == 0 && len(c.held) == 0 {
			return n, err
		}
		c.held = append(c.held, p[:n]...)
		c.dropStale()
		if err != nil {
			c.expects.Store(0)
			if len(c.held) == 0 {
				return 0, err
			}
		}
	}
}

// dropStale drops the answers to earlier requests from the bytes that were read. It ends the search once the bytes may belong to the current
// request, or to no answer that can be skipped.
func (c *Conn) dropStale() {
	for len(c.held) > 0 {
		size, ok := c.staleSize()
		switch {
		case !ok || size > maxHeldBytes:
			c.expects.Store(0)
			return
		case size == 0 || size > len(c.held):
			if len(c.held) >= maxHeldBytes {
				c.expects.Store(0)
			}
			return
		}
		c.held = c.held[size:]
		if c.expects.Add(-1) == 0 {
			return
		}
	}
	c.held = nil
}

// staleSize looks at the answer at the start of the bytes. It returns its size if it is one to an earlier request, zero if the bytes do not tell
// yet, and false if it is anything else: also if the current request is named in it, as an answer that broke off may be followed by its own.
func (c *Conn) staleSize() (size int, ok bool) {
	end, plausible := headEnd(c.held)
	if !plausible {
		return 0, false
	}
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	if current != "" && end > 0 && namedIn(c.held[:end], current) {
		return 0, false
	}
	if end == 0 {
		return 0, true
	}
	answer, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.held[:end])), nil)
	if err != nil || heads.CheckNames(answer.Header) != nil || answer.ContentLength < 0 || answer.ContentLength > maxHeldBytes {
		return 0, false
	}
	id := c.Identify(answer)
	if id == "" || id == current || !c.carried(id) {
		return 0, false
	}
	size = end + int(answer.ContentLength)
	rest := c.held[end:min(size, len(c.held))]
	if current != "" && namedIn(rest, current) {
		return 0, false
	}
	if size <= len(c.held) {
		c.OnStale(Stale{Conn: c.number, AnswerTo: id, Request: current})
	}
	return size, true
}

// namedIn reports whether the id is the value of a header line in the bytes.
func namedIn(b []byte, id units.RequestID) bool {
	for from := 0; ; from++ {
		i := bytes.Index(b[from:], []byte(id))
		if i < 0 {
			return false
		}
		from += i
		before := bytes.TrimRight(b[:from], " \t")
		after := bytes.TrimLeft(b[from+len(id):], " \t")
		if bytes.HasSuffix(before, []byte(":")) && (len(after) == 0 || after[0] == '\r' || after[0] == '\n') {
			return true
		}
	}
}

// carried reports whether a request with the id was sent over the connection.
func (c *Conn) carried(id units.RequestID) bool {
	hash := digest.Sum64(string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.ids, hash)
}

// headEnd returns the length of the head of an answer, zero if it is not complete, and whether the bytes can begin one.
func headEnd(b []byte) (end int, plausible bool) {
	const protocol = "HTTP/1."
	if n := min(len(b), len(protocol)); string(b[:n]) != protocol[:n] {
		return 0, false
	}
	for first := true; ; first = false {
		i := bytes.IndexByte(b[end:], '\n')
		if i < 0 {
			return 0, true
		}
		line := bytes.TrimRight(b[end:end+i], "\r")
		end += i + 1
		switch {
		case len(line) == 0:
			return end, true
		case first && !isStatusLine(line), !first && (!bytes.ContainsRune(line, ':') || line[0] == ' ' || line[0] == '\t'):
			return 0, false
		}
	}
}

func isStatusLine(line []byte) bool {
	fields := bytes.SplitN(line, []byte(" "), 3)
	if len(fields) < 2 || len(fields[1]) != 3 {
		return false
	}
	_, err := strconv.ParseUint(string(fields[1]), 10, 16)
	return err == nil
}
