package mirror

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// registryOf returns entries like those of n engines.
func registryOf(n int) []wire.StoredObject {
	objects := make([]wire.StoredObject, 0, n)
	for i := range n {
		value := fmt.Sprintf(`{"service":"guide-llm","address":"10.1.%d.%d:8080","zone":"grand-baie","version":1,"slots":12,`+
			`"state":"ready","cold_remaining_ms":0,"sequence":%d,"stage":"decode","born":17650000%05d}`, i/200, i%200, i*7, i*13)
		objects = append(objects, wire.StoredObject{
			Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Version: int64(i), Value: []byte(value),
		})
	}
	return objects
}

// TestAllObjectsAreSentCompressed checks that a registry of 4,000 engines comes back as it was, in few bytes: 16 followers
// that start at once get it over a link of 20 Mbit/s within two seconds.
func TestAllObjectsAreSentCompressed(t *testing.T) {
	const maxPackedBytes = 2 * 20e6 / 8 / Fanout
	objects := registryOf(4000)
	data, err := pack(objects)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxPackedBytes, "%d bytes", len(data))
	back, _, err := unpack(data, maxFrameBytes)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, objects)
}

// TestBadCompressedObjectsAreRefused checks that data that is damaged or grows without end is an error.
func TestBadCompressedObjectsAreRefused(t *testing.T) {
	data, err := pack(registryOf(50))
	assert.NilError(t, err)
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	assert.NilError(t, err)
	for range 2 * maxFrameBytes / 4096 {
		_, _ = w.Write(make([]byte, 4096))
	}
	assert.NilError(t, w.Close())
	for _, bad := range [][]byte{data[:len(data)/2], append([]byte{0xff}, data...), []byte("text"), bomb.Bytes()} {
		_, _, err := unpack(bad, maxFrameBytes)
		assert.Assert(t, err != nil)
	}
}

// TestLargeConfigurationIsSentCompressed checks that a change of one large object reaches a follower whole, in few bytes:
// the sender's link is shared by all its followers.
func TestLargeConfigurationIsSentCompressed(t *testing.T) {
	var routes strings.Builder
	for i := range 1050 {
		fmt.Fprintf(&routes, `{"name":"r-%08x","host":"shop%d.example","path":"/area%d/","kind":"stream",`+
			`"timeout":6000,"objective":800,"priority":2,"attempts":2,"service":"guide-llm"},`, i*2654435761, i%7, i*31)
	}
	m, stop := New(Options{
		Present: func() []Member { return nil }, Clock: time.Now, BootTime: time.Now, Feeds: []Feed{{Prefix: "config/", Sink: discardSink{}}},
	})
	defer stop()
	f := m.feeds[0]
	f.accept(copied{Change: objapi.Change{Version: 5, Objects: []objapi.Object{{Key: "config/main", Version: 5, Value: []byte("{}")}}}, full: true})
	sent := map[string]sentState{}
	m.copiesSince(sent)
	value := []byte(routes.String())
	f.accept(copied{Change: objapi.Change{Version: 9, Objects: []objapi.Object{{Key: "config/main", Version: 9, Value: value}}}})
	message := m.copiesSince(sent)
	assert.Equal(t, len(message.Copies), 1)
	packed := message.Copies[0].Packed
	assert.Assert(t, len(packed) > 0 && len(packed) < len(value)/4, "%d of %d bytes", len(packed), len(value))
	assert.NilError(t, unpackAll(message))
	assert.DeepEqual(t, message.Copies[0].Objects, []wire.StoredObject{{Key: "config/main", Version: 9, Value: value}})
}

// TestObjectsOfAFrameAreBoundedTogether guards against a frame whose compressed objects use up the memory of the process.
func TestObjectsOfAFrameAreBoundedTogether(t *testing.T) {
	packed, err := pack([]wire.StoredObject{{Key: "config/main", Version: 9, Value: make([]byte, maxFrameBytes/3)}})
	assert.NilError(t, err)
	message := &wire.Objects{}
	for range 2 {
		message.Copies = append(message.Copies, wire.ObjectCopy{Packed: packed})
	}
	assert.NilError(t, unpackAll(message))
	message = &wire.Objects{}
	for range 100 {
		message.Copies = append(message.Copies, wire.ObjectCopy{Packed: packed})
	}
	assert.ErrorIs(t, unpackAll(message), errPackedTooLong)
}
