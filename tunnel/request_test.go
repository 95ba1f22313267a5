package tunnel

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/wire"
)

func FuzzRequest(f *testing.F) {
	for _, frame := range []wire.Frame{
		{}, {Tunnel: &wire.Tunnel{}}, {Tunnel: &wire.Tunnel{Engine: "10.8.0.1:80"}},
		{TunnelAnswer: &wire.TunnelAnswer{Reason: "busy"}}, {Subscribe: &wire.Subscribe{Name: "entry"}},
	} {
		data, err := cbor.Marshal(frame)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		engine, err := decodeRequest(data)
		assert.Assert(t, (err == nil) == (engine != ""))
		assert.Assert(t, len(engine) <= len(data))
		reason, err := decodeAnswer(data)
		assert.Assert(t, err == nil || reason == "")
	})
}
