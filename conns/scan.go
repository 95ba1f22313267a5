package conns

import (
	"bytes"
	"errors"
)

const (
	// maxEmptyBytes is the most bytes of empty lines before a request. Some clients send one empty line after a body.
	maxEmptyBytes = 4
	// maxTrailerBytes and maxTrailerLines bound the part of a chunked body after its last chunk.
	maxTrailerBytes, maxTrailerLines = 2 << 10, 32
	// maxChunkLine bounds the line before a chunk, as net/http does.
	maxChunkLine = 4 << 10
	// maxLengthDigits bounds a Content-Length, so that it fits an int64.
	maxLengthDigits = 18
	// maxChunkDigits bounds the size of a chunk, so that it fits an int64.
	maxChunkDigits = 15
)

var (
	errNoRequest   = errors.New("head is not one of an HTTP/1 request")
	errFraming     = errors.New("framing of the request is contradictory or malformed")
	errLongTrailer = errors.New("trailer of the body is too long")
)

// headScan finds the end of a head. The zero value is at the start of one.
type headScan struct {
	bytes, lines int
	line         int  // bytes of the current line without a carriage return at its end
	returned     bool // the last byte of the line is a carriage return
}

// feed scans further bytes. It returns the index after the end of the head, or -1 if the head goes on.
func (s *headScan) feed(data []byte) int {
	for i := 0; i < len(data); {
		if data[i] == '\n' {
			i++
			s.bytes++
			if s.line == 0 {
				return i
			}
			s.lines++
			s.line, s.returned = 0, false
			continue
		}
		end := bytes.IndexByte(data[i:], '\n')
		if end < 0 {
			end = len(data) - i
		}
		if s.returned {
			s.line++ // the carriage return was not at the end
		}
		s.line += end
		if s.returned = data[i+end-1] == '\r'; s.returned {
			s.line--
		}
		s.bytes += end
		i += end
	}
	return -1
}

// framing says how the body of a request is delimited.
type framing struct {
	length  int64
	chunked bool
}

// parseFraming reads the framing from a whole head. A head that net/http could understand in another way is an error.
func parseFraming(head []byte) (framing, error) {
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	first = bytes.TrimSuffix(first, []byte("\r"))
	version := first[bytes.LastIndexByte(first, ' ')+1:]
	if !bytes.Equal(version, []byte("HTTP/1.1")) && !bytes.Equal(version, []byte("HTTP/1.0")) {
		return framing{}, errNoRequest
	}
	var f framing
	lengths, codings := 0, 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return f, errNoRequest
		}
		switch {
		case equalFold(name, "content-length"):
			lengths++
			if f.length, ok = parseLength(bytes.Trim(value, " \t")); !ok {
				return f, errFraming
			}
		case equalFold(name, "transfer-encoding"):
			codings++
			f.chunked = equalFold(bytes.Trim(value, " \t"), "chunked")
		}
	}
	if lengths+codings > 1 || codings == 1 && (!f.chunked || version[len(version)-1] != '1') {
		return f, errFraming
	}
	return f, nil
}

// equalFold compares with a text in lower case. Names of other lengths, which most are, cost nothing.
func equalFold(name []byte, lower string) bool {
	return len(name) == len(lower) && bytes.EqualFold(name, []byte(lower))
}

func parseLength(digits []byte) (int64, bool) {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return 0, false
	}
	n := int64(0)
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int64(d-'0')
	}
	return n, true
}

// tokenBytes has the bytes of which names and methods consist.
var tokenBytes = func() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[b] = true
	}
	return set
}()

func isToken(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// bodyScan finds the end of a body. Of what both it and net/http accept, both find the same end.
type bodyScan struct {
	remaining int64 // of the body, or of the current chunk with the line end after it
	chunked   bool
	state     chunkState
	size      int64 // of the chunk whose line is being read
	digits    int
	line      int // bytes of the current line
	trailer   int // bytes of the trailer
	lines     int // of the trailer
}

type chunkState int

const (
	chunkSize      chunkState = iota // digits of the size
	chunkExtension                   // what follows them in the line
	chunkLineEnd                     // the line feed of that line
	chunkData
	chunkDataReturn
	chunkDataEnd
	trailerLine
	trailerLineEnd
	bodyEnd
)

func newBodyScan(f framing) bodyScan {
	return bodyScan{remaining: f.length, chunked: f.chunked}
}

func (s *bodyScan) done() bool {
	if s.chunked {
		return s.state == bodyEnd
	}
	return s.remaining == 0
}

// feed scans further bytes and returns how many of them belong to the body.
func (s *bodyScan) feed(data []byte) (int, error) {
	if !s.chunked {
		n := min(s.remaining, int64(len(data)))
		s.remaining -= n
		return int(n), nil
	}
	i := 0
	for i < len(data) && s.state != bodyEnd {
		if s.state == chunkData {
			n := min(s.remaining, int64(len(data)-i))
			s.remaining -= n
			i += int(n)
			if s.remaining == 0 {
				s.state = chunkDataReturn
			}
			continue
		}
		if err := s.step(data[i]); err != nil {
			return i, err
		}
		i++
	}
	return i, nil
}

// step scans one byte outside of the data of a chunk.
func (s *bodyScan) step(b byte) error {
	switch s.state {
	case chunkSize, chunkExtension, chunkLineEnd:
		return s.stepChunkLine(b)
	case chunkDataReturn:
		if b != '\r' {
			return errFraming
		}
		s.state = chunkDataEnd
	case chunkDataEnd:
		if b != '\n' {
			return errFraming
		}
		s.state, s.size, s.digits, s.line = chunkSize, 0, 0, 0
	default:
		return s.stepTrailer(b)
	}
	return nil
}

func (s *bodyScan) stepChunkLine(b byte) error {
	if s.line++; s.line > maxChunkLine-2 {
		return errFraming
	}
	switch {
	case s.state == chunkLineEnd:
		if b != '\n' {
			return errFraming
		}
		s.line = 0
		if s.remaining = s.size; s.size > 0 {
			s.state = chunkData
		} else {
			s.state = trailerLine
		}
	case b == '\n':
		return errFraming
	case b == '\r':
		if s.digits == 0 {
			return errFraming
		}
		s.state = chunkLineEnd
	case s.state == chunkExtension:
	case b == ';' || b == ' ' || b == '\t':
		if s.digits == 0 {
			return errFraming
		}
		s.state = chunkExtension
	default:
		digit, ok := hexDigit(b)
		if s.digits++; !ok || s.digits > maxChunkDigits {
			return errFraming
		}
		s.size = s.size<<4 | digit
	}
	return nil
}

func (s *bodyScan) stepTrailer(b byte) error {
	if s.trailer++; s.trailer > maxTrailerBytes {
		return errLongTrailer
	}
	switch {
	case s.state == trailerLineEnd && b != '\n', s.state == trailerLine && b == '\n':
		return errFraming
	case s.state == trailerLineEnd && s.line == 0:
		s.state = bodyEnd
	case s.state == trailerLineEnd:
		s.state, s.line = trailerLine, 0
		if s.lines++; s.lines > maxTrailerLines {
			return errLongTrailer
		}
	case b == '\r':
		s.state = trailerLineEnd
	default:
		s.line++
	}
	return nil
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	default:
		return 0, false
	}
}
