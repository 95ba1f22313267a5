package duty_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/objapi"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	turnTime  = 3 * time.Second
	callDelay = 10 * time.Millisecond
)

func TestMain(m *testing.M) {
	os.Exit(fakes.RunWithFixedSeed(m, 150))
}

var (
	errNoAnswer    = errors.New("no answer")
	errUnreachable = errors.New("not reachable")
)

// machine holds the faults of one process. While it is suspended, none of its calls starts or returns.
type machine struct {
	mu         sync.Mutex
	resumeAt   time.Time
	noStore    bool
	noAPI      bool
	lostWrites int           // upcoming writes that take effect without an answer
	lostCalls  int           // upcoming calls that take effect without an answer
	lateBy     time.Duration // after which a call without an answer takes effect
}

func (m *machine) set(f func(m *machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m)
}

func (m *machine) get() machine {
	m.mu.Lock()
	defer m.mu.Unlock()
	return machine{
		resumeAt: m.resumeAt, noStore: m.noStore, noAPI: m.noAPI, lostWrites: m.lostWrites, lostCalls: m.lostCalls, lateBy: m.lateBy,
	}
}

// wait returns when the machine is not suspended.
func (m *machine) wait() {
	for {
		left := time.Until(m.get().resumeAt)
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// pass waits for the network, and returns an error if ctx ended meanwhile.
func (m *machine) pass(ctx context.Context) error {
	m.wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	time.Sleep(callDelay)
	return nil
}

// store is the store with the faults of a machine.
type store struct {
	objapi.Store
	machine *machine
}

// Get implements objapi.Store.
func (s store) Get(ctx context.Context, key string) (objapi.Object, error) {
	if err := s.machine.pass(ctx); err != nil {
		return objapi.Object{}, err
	}
	defer s.machine.wait()
	if s.machine.get().noStore {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Put implements objapi.Store.
func (s store) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	if err := s.machine.pass(ctx); err != nil {
		return objapi.Object{}, err
	}
	defer s.machine.wait()
	if s.machine.get().noStore {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	written, err := s.Store.Put(ctx, o)
	lost := false
	s.machine.set(func(m *machine) {
		lost = m.lostWrites > 0
		m.lostWrites = max(0, m.lostWrites-1)
	})
	if lost {
		return objapi.Object{}, objapi.ErrUnresolved
	}
	return written, err
}

// carrier makes calls to the stand-in API with the faults of a machine.
type carrier struct {
	api     *fakes.DutyAPI
	machine *machine
}

// send makes a call. One that is lost is carried out late, or never if the machine is suspended before it is sent.
func (c carrier) send(ctx context.Context, call fakes.DutyCall) error {
	c.machine.wait()
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", duty.ErrNotSent, ctx.Err())
	}
	if c.machine.get().noAPI {
		time.Sleep(callDelay)
		return fmt.Errorf("%w: %w", duty.ErrNotSent, errUnreachable)
	}
	lost, late := false, time.Duration(0)
	c.machine.set(func(m *machine) {
		lost, late = m.lostCalls > 0, m.lateBy
		m.lostCalls = max(0, m.lostCalls-1)
	})
	if lost {
		time.AfterFunc(callDelay+late, func() { c.api.Carry(call) })
		<-ctx.Done()
		c.machine.wait()
		return errNoAnswer
	}
	time.Sleep(callDelay)
	status := c.api.Carry(call)
	time.Sleep(callDelay)
	c.machine.wait()
	switch status {
	case 200:
		return nil
	case 409:
		return duty.ErrConflict
	case 429:
		return duty.ErrThrottled
	default:
		return errNoAnswer
	}
}

// rig is a fleet of processes that share the duties.
type rig struct {
	t        *testing.T
	api      *fakes.DutyAPI
	store    *fakes.Store
	machines map[string]*machine
	outcomes sync.Map
	wg       sync.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context
	fenced   bool
}

func newRig(t *testing.T, fenced bool) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	return &rig{
		t: t, api: fakes.NewDutyAPI(fenced), store: fakes.NewStore(), machines: map[string]*machine{}, ctx: ctx, cancel: cancel,
		fenced: fenced,
	}
}

// DutyCalled implements duty.Observer.
func (r *rig) DutyCalled(_, outcome string, _ time.Duration) {
	r.outcomes.Store(outcome, true)
}

// start starts a process with a task, and returns what ends it.
func (r *rig) start(name string, first bool, task func(c carrier) duty.Task) (stop func()) {
	m := &machine{}
	r.machines[name] = m
	runner := duty.New(duty.Options{
		Name: units.ProcessName(name), Tasks: []duty.Task{task(carrier{api: r.api, machine: m})}, TurnTime: turnTime, Fenced: r.fenced, Rate: 50,
		Eligible: func() bool { return true }, Store: store{Store: r.store, machine: m}, FirstStart: first, Clock: time.Now,
		Observer: r, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer close(done)
		runner.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// stop ends all processes and waits for calls that are late.
func (r *rig) stop() {
	r.cancel()
	r.wg.Wait()
	time.Sleep(2 * turnTime)
}
