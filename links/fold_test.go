package links_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/heads"
	"github.com/buckthorntrack/buckthorntrack/links"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TestFoldedLinesAreRefused checks that a connection fails where a line of a head begins with a blank, and that such lines elsewhere, in the
// bodies of answers, are read.
func TestFoldedLinesAreRefused(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	sound := answer(200, "first", " body\r\n\tbody\r\n\r\n body")
	folded := answer(200, "first", "")
	folded = strings.Replace(folded, "Content", " Content", 1)
	tests := []struct {
		name    string
		answers []string // to one request each
		refused bool     // the last one
	}{
		{name: "sound", answers: []string{sound, sound, sound}},
		{name: "sound, lines that end with LF", answers: []string{lf(sound), lf(sound)}},
		{name: "sound after interim answers", answers: []string{interim + interim + sound, interim + sound}},
		{name: "no field", answers: []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 204\r\n\r\n"}},
		{name: "folded", answers: []string{folded}, refused: true},
		{name: "folded with a tab", answers: []string{strings.Replace(folded, " Content", "\tContent", 1)}, refused: true},
		{name: "folded, lines that end with LF", answers: []string{lf(folded)}, refused: true},
		{name: "folded in the second answer", answers: []string{sound, folded}, refused: true},
		{name: "folded after an interim answer", answers: []string{interim + folded}, refused: true},
		{name: "folded in an interim answer", answers: []string{strings.Replace(interim, "Link", " Link", 1) + sound}, refused: true},
		{name: "blanks alone", answers: []string{"HTTP/1.1 200 OK\r\nId: first\r\n \r\n\r\n"}, refused: true},
	}
	for _, tt := range tests {
		for _, piece := range []int{1, 7, 4096} {
			t.Run(fmt.Sprint(tt.name, " in pieces of ", piece), func(t *testing.T) {
				local, remote := net.Pipe()
				defer func() { _ = remote.Close() }()
				c := links.New(local, links.Options{})
				defer func() { _ = c.Close() }()
				for n, text := range tt.answers {
					_, ok := c.Begin(units.RequestID(fmt.Sprint("id", n)), http.MethodPost)
					assert.Assert(t, ok)
					go func() {
						for rest := text; rest != ""; {
							size := min(piece, len(rest))
							if _, err := io.WriteString(remote, rest[:size]); err != nil {
								return
							}
							rest = rest[size:]
						}
					}()
					read := make([]byte, len(text))
					_, err := io.ReadFull(c, read)
					if tt.refused && n == len(tt.answers)-1 {
						assert.ErrorIs(t, err, heads.ErrMalformed)
						_, err = c.Read(read)
						assert.ErrorIs(t, err, heads.ErrMalformed) // stays
						return
					}
					assert.NilError(t, err)
					assert.Equal(t, string(read), text)
				}
			})
		}
	}
}
