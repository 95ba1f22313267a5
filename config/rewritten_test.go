package config

import (
	"io"
	"io/fs"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// emptiedFile is a settings file that another program empties when it is read first. Its time of modification may follow later.
type emptiedFile struct {
	modified time.Time
	late     bool
}

// Stat implements fs.File.
func (f *emptiedFile) Stat() (fs.FileInfo, error) { return f, nil }

// Read implements fs.File.
func (f *emptiedFile) Read([]byte) (int, error) {
	if !f.late {
		f.modified = time.Now()
	}
	return 0, io.EOF
}

// The methods of fs.File and fs.FileInfo that a reader of settings does not need.
func (*emptiedFile) Close() error         { return nil }
func (*emptiedFile) Name() string         { return "process.ini" }
func (*emptiedFile) Size() int64          { return 0 }
func (*emptiedFile) Mode() fs.FileMode    { return 0 }
func (*emptiedFile) IsDir() bool          { return false }
func (*emptiedFile) Sys() any             { return nil }
func (f *emptiedFile) ModTime() time.Time { return f.modified }

// TestFileEmptiedWhileItIsReadCountsAsRewritten guards against a process that ends at its start, as its settings file is rewritten just
// when it reads it.
func TestFileEmptiedWhileItIsReadCountsAsRewritten(t *testing.T) {
	for _, late := range []bool{false, true} {
		_, rewritten, err := readSettingsFile("process.ini", &emptiedFile{modified: time.Now().Add(-time.Minute), late: late})
		assert.Assert(t, err != nil)
		assert.Assert(t, rewritten, "time of modification follows later: %v", late)
	}
}
