package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fault"
)

func TestSendError(t *testing.T) {
	active := context.Background()
	canceled, cancel := context.WithCancel(active)
	cancel()
	expired, stop := context.WithDeadline(active, time.Now().Add(-time.Second))
	defer stop()
	tests := []struct {
		name      string
		ctx       context.Context
		connected bool
		code      fault.Code
		verdict   fault.Verdict
	}{
		{name: "no connection", ctx: active, code: fault.CodeNoUpstream, verdict: fault.NotRun},
		{name: "connection failed", ctx: active, connected: true, code: fault.CodeUpstreamDied, verdict: fault.MayHaveRun},
		{name: "deadline exceeded", ctx: expired, connected: true, code: fault.CodeDeadline, verdict: fault.MayHaveRun},
		{name: "caller disconnected", ctx: canceled, connected: true, code: fault.CodeCanceled, verdict: fault.MayHaveRun},
		{name: "caller disconnected before the send", ctx: canceled, code: fault.CodeNoUpstream, verdict: fault.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := fault.From(sendError(tt.ctx, tt.connected, errors.New("read failed")))
			assert.Equal(t, e.Code, tt.code)
			assert.Equal(t, e.Verdict, tt.verdict)
		})
	}
}
