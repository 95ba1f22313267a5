package proxy

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/reach"
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
		err       error
		code      fault.Code
		verdict   fault.Verdict
	}{
		{name: "no connection", ctx: active, code: fault.CodeNoUpstream, verdict: fault.NotRun},
		{name: "connection failed", ctx: active, connected: true, code: fault.CodeUpstreamDied, verdict: fault.MayHaveRun},
		{
			name: "path lost", ctx: active, connected: true, err: &net.OpError{Op: "read", Err: reach.ErrPathLost},
			code: fault.CodePathLost, verdict: fault.MayHaveRun,
		},
		{name: "path lost before the send", ctx: active, err: reach.ErrPathLost, code: fault.CodeNoUpstream, verdict: fault.NotRun},
		{name: "caller disconnected, path lost", ctx: canceled, connected: true, err: reach.ErrPathLost, code: fault.CodeCanceled, verdict: fault.MayHaveRun},
		{name: "deadline exceeded", ctx: expired, connected: true, code: fault.CodeDeadline, verdict: fault.MayHaveRun},
		{name: "caller disconnected", ctx: canceled, connected: true, code: fault.CodeCanceled, verdict: fault.MayHaveRun},
		{name: "caller disconnected before the send", ctx: canceled, code: fault.CodeNoUpstream, verdict: fault.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.err
			if err == nil {
				err = errors.New("read failed")
			}
			e := fault.From(sendError(tt.ctx, tt.connected, err))
			assert.Equal(t, e.Code, tt.code)
			assert.Equal(t, e.Verdict, tt.verdict)
		})
	}
}
