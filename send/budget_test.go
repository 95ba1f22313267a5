package send

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/admit"
	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/peer"
	"github.com/buckthorntrack/buckthorntrack/poison"
	"github.com/buckthorntrack/buckthorntrack/route"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// countingUpstream is an upstream that counts its calls. A call fails if the function fail returns true for its number.
type countingUpstream struct {
	calls *int
	fail  func(call int) bool
}

func (c countingUpstream) Send(context.Context, engine.Call) (engine.Answer, error) {
	*c.calls++
	if c.fail(*c.calls) {
		return engine.Answer{}, fault.New(fault.MayHaveRun, fault.CodeUpstreamFailed, http.StatusBadGateway, "failed").Wrap(
			errors.New("test"))
	}
	return engine.Answer{Status: http.StatusOK}, nil
}

// stub implements Targets with a single target, and an Observer without effect.
type stub struct{ target *Target }

func (s stub) Target(units.ServiceName) (*Target, bool) { return s.target, true }
func (stub) RecordDemand(*flow.Exchange, units.Tokens)  {}
func (stub) Retried(*flow.Exchange)                     {}
func (stub) Resumed(*flow.Exchange)                     {}
func (stub) Forwarded(*flow.Exchange)                   {}

// TestRetriesStayWithinTheirBudget guards against retry storms: engines fail all calls, every fourth call or none.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	const (
		requests = 1000
		ratio    = 0.1
	)
	tests := []struct {
		name string
		fail func(call int) bool
		most float64 // maximum number of retries over all requests
	}{
		{"all calls fail", func(int) bool { return true }, initialRetries},
		{"every fourth call fails", func(call int) bool { return call%4 == 0 }, initialRetries + ratio*requests},
		{"no call fails", func(int) bool { return false }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				fleet := route.New(route.Speeds{PrefillPerSecond: 1, Sequences: 64, PieceTokens: 1}, nil)
				var views []*route.View
				for i := range 8 {
					e := &config.Engine{Name: units.EngineName(fmt.Sprint(i)), Role: engine.RoleMixed}
					views = append(views, route.NewView(e, countingUpstream{calls: &calls, fail: tt.fail}, nil, time.Now()))
				}
				fleet.Set(views)
				gate := admit.New(fleet, admit.Bounds{Target: time.Second, Queue: 10}, time.Now)
				s := stub{target: NewTarget(fleet, gate)}
				screen, closeScreen := poison.New(peer.NewTable(time.Now), func() {}, time.Now, zerolog.Nop())
				defer closeScreen()
				stage := New(s, nil, screen, s, time.Now)
				for range requests {
					x := &flow.Exchange{
						Context: t.Context(), Service: &config.Service{RetryBudget: ratio}, Idempotent: true,
						Tenant: &config.Tenant{Share: 1}, Class: &config.Class{},
					}
					_ = stage.Run(x)
					time.Sleep(2 * time.Second)
				}
				assert.Assert(t, float64(calls-requests) <= tt.most, "%d calls for %d requests", calls, requests)
			})
		})
	}
}
