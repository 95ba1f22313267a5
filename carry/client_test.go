package carry

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

func TestSendFault(t *testing.T) {
	open := context.Background()
	left, leave := context.WithCancel(open)
	leave()
	late, stop := context.WithDeadline(open, time.Now().Add(-time.Second))
	defer stop()
	tests := []struct {
		name      string
		ctx       context.Context
		connected bool
		code      fault.Code
		verdict   fault.Verdict
	}{
		{name: "no connection", ctx: open, code: fault.CodeNoUpstream, verdict: fault.NotRun},
		{name: "connection broke", ctx: open, connected: true, code: fault.CodeUpstreamDied, verdict: fault.MayHaveRun},
		{name: "no time left", ctx: late, connected: true, code: fault.CodeDeadline, verdict: fault.MayHaveRun},
		{name: "caller has left", ctx: left, connected: true, code: fault.CodeCanceled, verdict: fault.MayHaveRun},
		{name: "caller has left before the send", ctx: left, code: fault.CodeNoUpstream, verdict: fault.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := fault.From(sendFault(tt.ctx, tt.connected, errors.New("read failed")))
			assert.Equal(t, e.Code, tt.code)
			assert.Equal(t, e.Verdict, tt.verdict)
		})
	}
}
