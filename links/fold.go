package links

import (
	"bytes"
	"fmt"
	"sync/atomic"

	"github.com/buckthorntrack/buckthorntrack/heads"
)

// lineStart is the part of a line that is kept until its end, enough for the status in the first line of a head.
const lineStart = 16

// errFolded means that a line of a head begins with a blank. net/http appends such a line to the value before it, so that a field whose
// name begins with a blank changes another one and is not seen itself. RFC 9112, section 5.2, lets a gateway refuse the answer.
var errFolded = fmt.Errorf("%w: a line begins with a blank", heads.ErrMalformed)

// foldScanner looks for errFolded in the bytes that are read from a connection.
type foldScanner struct {
	headDue atomic.Bool // the next bytes begin a head
	inHead  bool
	first   bool // the line is the first one of its head
	interim bool // another head follows this one
	line    []byte
	err     error
}

// scan looks at the next bytes. Its error stays.
func (s *foldScanner) scan(p []byte) error {
	if s.headDue.Swap(false) {
		s.inHead, s.first, s.line = true, true, s.line[:0]
	}
	for s.inHead && s.err == nil && len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), lineStart-len(s.line))]...)
		p = rest
		if ended {
			s.endLine()
		}
	}
	return s.err
}

// endLine handles the end of the line.
func (s *foldScanner) endLine() {
	switch {
	case s.first:
		s.first, s.interim = false, isInterim(s.line)
	case len(s.line) == 0, string(s.line) == "\r":
		s.inHead, s.first = s.interim, true
	case s.line[0] == ' ', s.line[0] == '\t':
		s.err = errFolded
	}
	s.line = s.line[:0]
}

// isInterim reports whether the first line of a head is that of an answer before the final one.
func isInterim(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
}
