package fakes

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/buckthorntrack/buckthorntrack/duty"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// machineDelay is the time of a call of a machine to the store or the duty API, one way.
const machineDelay = 10 * time.Millisecond

var (
	errNoAnswer    = errors.New("no answer")
	errUnreachable = errors.New("not reachable")
)

// MachineFaults are the faults of one process in virtual time.
type MachineFaults struct {
	ResumeAt   time.Time     // until then the process is suspended: none of its calls starts or returns
	NoStore    bool          // the store is not reached
	NoAPI      bool          // the duty API is not reached
	LostWrites int           // upcoming writes that take effect without an answer
	LostCalls  int           // upcoming calls that take effect without an answer
	LateBy     time.Duration // after which a call without an answer takes effect
}

// Machine is where a process runs that makes calls to a store and to a duty API.
type Machine struct {
	mu     sync.Mutex
	faults MachineFaults
}

// Set changes the faults.
func (m *Machine) Set(f func(f *MachineFaults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(&m.faults)
}

// Faults returns the faults.
func (m *Machine) Faults() MachineFaults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Wait returns when the machine is not suspended.
func (m *Machine) Wait() {
	for {
		left := time.Until(m.Faults().ResumeAt)
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// pass waits for the network, and returns an error if ctx ended meanwhile.
func (m *Machine) pass(ctx context.Context) error {
	m.Wait()
	if err := ctx.Err(); err != nil {
		return err
	}
	time.Sleep(machineDelay)
	return nil
}

// MachineStore is a store with the faults of a machine.
type MachineStore struct {
	objapi.Store
	Machine *Machine
}

// Get implements objapi.Store.
func (s MachineStore) Get(ctx context.Context, key string) (objapi.Object, error) {
	if err := s.Machine.pass(ctx); err != nil {
		return objapi.Object{}, err
	}
	defer s.Machine.Wait()
	if s.Machine.Faults().NoStore {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Put implements objapi.Store.
func (s MachineStore) Put(ctx context.Context, o objapi.Object) (objapi.Object, error) {
	if err := s.Machine.pass(ctx); err != nil {
		return objapi.Object{}, err
	}
	defer s.Machine.Wait()
	if s.Machine.Faults().NoStore {
		return objapi.Object{}, objapi.ErrUnavailable
	}
	written, err := s.Store.Put(ctx, o)
	lost := false
	s.Machine.Set(func(f *MachineFaults) {
		lost = f.LostWrites > 0
		f.LostWrites = max(0, f.LostWrites-1)
	})
	if lost {
		return objapi.Object{}, objapi.ErrUnresolved
	}
	return written, err
}

// Probe returns an error if the duty API is not reached.
func (m *Machine) Probe(ctx context.Context) error {
	if err := m.pass(ctx); err != nil {
		return err
	}
	if m.Faults().NoAPI {
		return errUnreachable
	}
	return nil
}

// Send makes a call to the duty API, with the errors of duty.Call. One that is lost is carried out late, or never if the machine is
// suspended before it is sent.
func (m *Machine) Send(ctx context.Context, api *DutyAPI, call DutyCall) error {
	m.Wait()
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", duty.ErrNotSent, ctx.Err())
	}
	if m.Faults().NoAPI {
		time.Sleep(machineDelay)
		return fmt.Errorf("%w: %w", duty.ErrNotSent, errUnreachable)
	}
	lost, late := false, time.Duration(0)
	m.Set(func(f *MachineFaults) {
		lost, late = f.LostCalls > 0, f.LateBy
		f.LostCalls = max(0, f.LostCalls-1)
	})
	if lost {
		time.AfterFunc(machineDelay+late, func() { api.Carry(call) })
		<-ctx.Done()
		m.Wait()
		return errNoAnswer
	}
	time.Sleep(machineDelay)
	status := api.Carry(call)
	time.Sleep(machineDelay)
	m.Wait()
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return duty.ErrConflict
	case http.StatusTooManyRequests:
		return duty.ErrThrottled
	default:
		return errNoAnswer
	}
}
