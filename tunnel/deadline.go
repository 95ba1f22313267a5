package tunnel

import (
	"sync"
	"time"
)

// deadline is a read or write deadline, which may change while an operation waits.
type deadline struct {
	mu     sync.Mutex
	at     time.Time // zero for none
	timer  *time.Timer
	passed chan struct{} // closed when the deadline has passed
	cancel func()        // ends the operation that is bound to the deadline, nil if none is
}

func newDeadline() deadline {
	return deadline{passed: make(chan struct{})}
}

// set replaces the deadline. The zero time means none.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if isDone(d.passed) {
		d.passed = make(chan struct{})
	}
	d.at = t
	if t.IsZero() {
		return
	}
	passed := d.passed
	left := time.Until(t)
	if left <= 0 {
		d.pass()
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(left, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.timer == timer && d.passed == passed {
			d.pass()
		}
	})
	d.timer = timer
}

// pass records that the deadline has passed. The lock must be held.
func (d *deadline) pass() {
	close(d.passed)
	if d.cancel != nil {
		d.cancel()
	}
}

// wait returns a channel that is closed when the deadline passes.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

// hasPassed does not wait for the timer. The lock must be held.
func (d *deadline) hasPassed() bool {
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

// bind calls cancel when the deadline passes, until unbind. It reports false if the deadline has passed already.
func (d *deadline) bind(cancel func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hasPassed() {
		return false
	}
	d.cancel = cancel
	return true
}

// unbind ends bind. It reports whether the deadline has passed.
func (d *deadline) unbind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancel = nil
	return d.hasPassed()
}
