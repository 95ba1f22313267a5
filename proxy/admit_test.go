package proxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

func TestDecideCall(t *testing.T) {
	tests := []struct {
		name  string
		state callState
		code  fault.Code // empty if the call may be sent
	}{
		{name: "sound process"},
		{name: "stopped", state: callState{stopped: true, repeatable: true}, code: fault.CodeStopping},
		{name: "stops soon", state: callState{stopsSoon: true}, code: fault.CodeStopping},
		{name: "stops soon, repeatable", state: callState{stopsSoon: true, repeatable: true}},
		{name: "stranded", state: callState{stranded: true}, code: fault.CodeNoUpstream},
		{name: "stranded, repeatable", state: callState{stranded: true, repeatable: true}, code: fault.CodeNoUpstream},
		{name: "stranded and stopped", state: callState{stranded: true, stopped: true}, code: fault.CodeStopping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := decideCall(tt.state)
			if tt.code == "" {
				assert.Assert(t, e == nil)
				return
			}
			assert.Equal(t, e.Code, tt.code)
			assert.Equal(t, e.Verdict, fault.NotRun)
			assert.Equal(t, e.Status, http.StatusServiceUnavailable)
		})
	}
}
