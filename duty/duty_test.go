package duty_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/fakes"
)

// orderer orders a number that changes, for several subjects.
type orderer struct {
	carrier
	interval time.Duration
	subjects []string
}

// String implements duty.Task.
func (*orderer) String() string { return "order" }

// Run implements duty.Task.
func (o *orderer) Run(ctx context.Context, h *duty.Handle) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		for _, subject := range o.subjects {
			content := strconv.Itoa(int(time.Now().Unix() / 2))
			calls.Go(func() {
				_ = h.Call(ctx, duty.Call{
					Subject: duty.Subject(subject), Content: content,
					Send: func(ctx context.Context, c duty.Credentials) error {
						return o.send(ctx, fakes.DutyCall{
							Duty: fakes.DutyScale, Holder: string(c.Holder), Token: int64(c.Token), Subject: subject, Content: content,
						})
					},
				})
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(o.interval):
		}
	}
}

func newOrderer(interval time.Duration, subjects ...string) func(c carrier) duty.Task {
	return func(c carrier) duty.Task { return &orderer{carrier: c, interval: interval, subjects: subjects} }
}

// firstCallBy returns when a holder's first call was carried out, zero for never.
func firstCallBy(calls []fakes.DutyCall, holder string) time.Time {
	for _, c := range calls {
		if c.Holder == holder {
			return c.At
		}
	}
	return time.Time{}
}

// TestFirstHolderCallsAtOnce guards against duties that wait for a pause at the first start of the fleet, when there was no holder.
func TestFirstHolderCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, false)
		began := time.Now()
		r.start("a", true, newOrderer(100*time.Millisecond, "x"))
		time.Sleep(time.Second)
		r.stop()
		assert.Assert(t, firstCallBy(r.api.Calls(), "a").Sub(began) < 200*time.Millisecond)
	})
}

// TestDutiesPassOn guards against duties that stay undone after the loss of their holder, and against a successor that calls before
// late calls of the former holder are over.
func TestDutiesPassOn(t *testing.T) {
	tests := []struct {
		name        string
		fault       func(r *rig, stop func())
		after, soon time.Duration // bounds of the time until the successor's first call
	}{
		{name: "holder stops", fault: func(_ *rig, stop func()) { go stop() }, after: 3300 * time.Millisecond, soon: 3800 * time.Millisecond},
		{
			name: "holder loses the store", after: 5 * time.Second, soon: 7300 * time.Millisecond,
			fault: func(r *rig, _ func()) { r.machines["a"].Set(func(m *fakes.MachineFaults) { m.NoStore = true }) },
		},
		{
			name: "holder is suspended", after: 5 * time.Second, soon: 7300 * time.Millisecond,
			fault: func(r *rig, _ func()) {
				r.machines["a"].Set(func(m *fakes.MachineFaults) { m.ResumeAt = time.Now().Add(time.Minute) })
			},
		},
		{
			name: "holder does not reach the duty API", after: 5 * time.Second, soon: 6300 * time.Millisecond,
			fault: func(r *rig, _ func()) { r.machines["a"].Set(func(m *fakes.MachineFaults) { m.NoAPI = true }) },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, false)
				stop := r.start("a", true, newOrderer(100*time.Millisecond, "x"))
				time.Sleep(5 * time.Second)
				r.start("b", false, newOrderer(100*time.Millisecond, "x"))
				time.Sleep(5 * time.Second)
				began := time.Now()
				tt.fault(r, stop)
				time.Sleep(9 * time.Second)
				calls := r.api.Calls()
				took := firstCallBy(calls, "b").Sub(began)
				t.Logf("first call of the successor after %v", took)
				assert.Assert(t, took >= tt.after && took <= tt.soon, "%v", took)
				assert.Equal(t, len(fakes.CheckDutyCalls(calls, turnTime)), 0)
				r.stop()
			})
		})
	}
}

// TestHolderThatDoesNotReachTheAPIIsNotEligible guards against a lease that passes back and forth to a process that does not reach the
// duty API.
func TestHolderThatDoesNotReachTheAPIIsNotEligible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, false)
		r.start("a", true, newOrderer(100*time.Millisecond, "x"))
		time.Sleep(time.Second)
		r.machines["a"].Set(func(m *fakes.MachineFaults) { m.NoAPI = true })
		time.Sleep(2500 * time.Millisecond)
		r.machines["a"].Set(func(m *fakes.MachineFaults) { m.NoAPI = false })
		calls := len(r.api.Calls())
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(r.api.Calls()), calls, "it holds the duties again too early")
		time.Sleep(4 * time.Second)
		assert.Assert(t, len(r.api.Calls()) > calls, "it never holds the duties again")
		r.stop()
	})
}

// TestDutiesGoOnAfterAnOutageOfTheAPI guards against duties that stay undone after the duty API was out for all, as the lease passes
// between processes that do not reach it, each with a pause.
func TestDutiesGoOnAfterAnOutageOfTheAPI(t *testing.T) {
	for outage := 3 * time.Second; outage <= 15*time.Second; outage += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, false)
			for i, name := range []string{"a", "b"} {
				r.start(name, i == 0, newOrderer(100*time.Millisecond, "x"))
			}
			time.Sleep(5 * time.Second)
			for _, m := range r.machines {
				m.Set(func(m *fakes.MachineFaults) { m.NoAPI = true })
			}
			time.Sleep(outage)
			for _, m := range r.machines {
				m.Set(func(m *fakes.MachineFaults) { m.NoAPI = false })
			}
			back := time.Now()
			time.Sleep(5 * time.Second)
			calls := r.api.Calls()
			r.stop()
			var first time.Duration
			for _, c := range calls {
				if c.At.After(back) {
					first = c.At.Sub(back)
					break
				}
			}
			most := max(500*time.Millisecond, 2*time.Second+turnTime+1200*time.Millisecond-outage)
			assert.Assert(t, first > 0 && first <= most, "outage of %v: first call %v after it", outage, first)
			assert.Equal(t, len(fakes.CheckDutyCalls(calls, turnTime)), 0)
		})
	}
}

// TestUnansweredCallBlocksOtherContent guards against an order that takes effect after a later one with another number.
func TestUnansweredCallBlocksOtherContent(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, fenced)
				r.start("a", true, newOrderer(50*time.Millisecond, "x"))
				time.Sleep(3 * time.Second)
				r.machines["a"].Set(func(m *fakes.MachineFaults) { m.LostCalls, m.LateBy = 1, 2900*time.Millisecond })
				time.Sleep(20 * time.Second)
				r.stop()
				last, blocked := 0, true
				for _, c := range r.api.Calls() {
					content, err := strconv.Atoi(c.Content)
					assert.NilError(t, err)
					blocked = blocked && content >= last
					last = max(last, content)
				}
				assert.Equal(t, blocked, !fenced)
			})
		})
	}
}

// TestConflictIsToldApart guards against a holder that gives its lease up as no engines are available, and one that goes on though a
// higher token was seen.
func TestConflictIsToldApart(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		gaveUp  bool
		outcome string
	}{
		{name: "no engines are available", err: duty.ErrConflict, outcome: duty.OutcomeConflict},
		{name: "higher token was seen", err: duty.ErrFenced, gaveUp: true, outcome: duty.OutcomeFenced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, true)
				task := &callOnce{err: tt.err, ended: make(chan struct{})}
				r.start("a", true, func(carrier) duty.Task { return task })
				time.Sleep(time.Second)
				synctest.Wait()
				assert.ErrorIs(t, task.result, tt.err)
				select {
				case <-task.ended:
					assert.Assert(t, tt.gaveUp, "lease was given up")
				default:
					assert.Assert(t, !tt.gaveUp, "lease was kept")
				}
				_, counted := r.outcomes.Load(tt.outcome)
				assert.Assert(t, counted)
				r.stop()
			})
		})
	}
}

// callOnce makes one call and waits for the end of the lease.
type callOnce struct {
	err, result error
	once        sync.Once
	ended       chan struct{}
}

// String implements duty.Task.
func (*callOnce) String() string { return "once" }

// Run implements duty.Task.
func (c *callOnce) Run(ctx context.Context, h *duty.Handle) {
	c.once.Do(func() {
		c.result = h.Call(ctx, duty.Call{Subject: "x", Send: func(context.Context, duty.Credentials) error { return c.err }})
		<-ctx.Done()
		close(c.ended)
	})
	<-ctx.Done()
}

// interrupted makes a call that is carried out late, and one for which the duty API has seen a higher token.
type interrupted struct {
	carrier
	terms int
}

// String implements duty.Task.
func (*interrupted) String() string { return "interrupted" }

// Run implements duty.Task.
func (i *interrupted) Run(ctx context.Context, h *duty.Handle) {
	i.terms++
	call := func(subject string) func(ctx context.Context, c duty.Credentials) error {
		return func(ctx context.Context, c duty.Credentials) error {
			return i.send(ctx, fakes.DutyCall{Duty: fakes.DutyScale, Holder: string(c.Holder), Token: int64(c.Token), Subject: subject})
		}
	}
	if i.terms > 1 {
		_ = h.Call(ctx, duty.Call{Subject: "z", Send: call("z")})
		<-ctx.Done()
		return
	}
	var calls sync.WaitGroup
	calls.Go(func() { _ = h.Call(ctx, duty.Call{Subject: "x", Send: call("x")}) })
	time.Sleep(100 * time.Millisecond)
	_ = h.Call(ctx, duty.Call{Subject: "y", Send: func(context.Context, duty.Credentials) error { return duty.ErrFenced }})
	calls.Wait()
}

// TestHolderThatFollowsItselfWaitsForItsLateCalls guards against a call with a lower token that is carried out after one with a higher
// token, when a process holds the duties again at once.
func TestHolderThatFollowsItselfWaitsForItsLateCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, false)
		r.start("a", true, func(c carrier) duty.Task {
			c.machine.Set(func(m *fakes.MachineFaults) { m.LostCalls, m.LateBy = 1, 2900*time.Millisecond })
			return &interrupted{carrier: c}
		})
		time.Sleep(10 * time.Second)
		r.stop()
		calls := r.api.Calls()
		assert.Equal(t, len(calls), 2)
		assert.Equal(t, len(fakes.CheckDutyCalls(calls, turnTime)), 0)
	})
}

// TestHolderResumesAfterAnOutageOfTheStore guards against duties that stay undone for the duration of a lease after the store is back,
// though no other process can have held the lease.
func TestHolderResumesAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, false)
		r.start("a", true, newOrderer(100*time.Millisecond, "x"))
		time.Sleep(time.Second)
		r.machines["a"].Set(func(m *fakes.MachineFaults) { m.NoStore = true })
		time.Sleep(20 * time.Second)
		before := len(r.api.Calls())
		r.machines["a"].Set(func(m *fakes.MachineFaults) { m.NoStore = false })
		time.Sleep(time.Second)
		assert.Assert(t, len(r.api.Calls()) > before)
		r.stop()
		assert.Equal(t, len(fakes.CheckDutyCalls(r.api.Calls(), turnTime)), 0)
	})
}

// TestCallsStayWithinTheRate guards against more calls a second than the duty API accepts.
func TestCallsStayWithinTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, false)
		subjects := make([]string, 40)
		for i := range subjects {
			subjects[i] = fmt.Sprint("x", i)
		}
		r.start("a", true, newOrderer(200*time.Millisecond, subjects...))
		time.Sleep(10 * time.Second)
		r.stop()
		calls := r.api.Calls()
		for i := range calls {
			if i >= 50 {
				assert.Assert(t, calls[i].At.Sub(calls[i-50].At) >= 880*time.Millisecond, "%v", calls[i].At.Sub(calls[i-50].At))
			}
		}
		assert.Assert(t, len(calls) > 400, "only %d calls", len(calls))
	})
}
