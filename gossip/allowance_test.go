package gossip_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

// earlierLoad is the load of an engine as processes without allowances send and understand it.
type earlierLoad struct {
	Engine  string `cbor:"e"`
	Born    int64  `cbor:"b"`
	Running int64  `cbor:"r"`
}

// TestLoadsOfOtherVersionsAreUnderstood guards against processes of two versions that drop each other's loads during an
// update.
func TestLoadsOfOtherVersionsAreUnderstood(t *testing.T) {
	sent, err := cbor.Marshal(wire.EngineLoad{Engine: "e", Born: 5, Running: 3, Allowance: pick.OpenAllowance})
	assert.NilError(t, err)
	var earlier earlierLoad
	assert.NilError(t, cbor.Unmarshal(sent, &earlier))
	assert.Equal(t, earlier, earlierLoad{Engine: "e", Born: 5, Running: 3})

	sent, err = cbor.Marshal(earlier)
	assert.NilError(t, err)
	var load wire.EngineLoad
	assert.NilError(t, cbor.Unmarshal(sent, &load))
	assert.Equal(t, load.Allowance, int64(0), "a process without allowances holds engines back")
	assert.Equal(t, load.Running, int64(3))
}
