package fakes

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Duties of DutyCall.
const (
	DutyUsage = "usage"
	DutyScale = "scale"
)

// DutyCall is a call that the stand-in duty API has carried out.
type DutyCall struct {
	At      time.Time
	Duty    string // DutyUsage or DutyScale
	Holder  string
	Token   int64
	Subject string // number of the window, or kind of engines
	Content string
}

// DutyAPI is a stand-in for the users' duty API. It carries calls out in the order in which they are due, also when their callers have
// given them up.
type DutyAPI struct {
	mu      sync.Mutex
	fenced  bool
	highest int64
	calls   []DutyCall
	refused int // calls with a lower token than one that was seen
	reports map[string]string
	status  int           // of all answers, zero for that of the call
	delay   time.Duration // until a call is carried out
	answer  time.Duration // from then until it is answered
}

// NewDutyAPI returns a duty API that has seen no call. One that is fenced refuses calls with a lower token than one that it has seen.
func NewDutyAPI(fenced bool) *DutyAPI {
	return &DutyAPI{fenced: fenced, reports: map[string]string{}}
}

// SetDelays sets the time until a call is carried out, and from then until it is answered.
func (d *DutyAPI) SetDelays(carry, answer time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay, d.answer = carry, answer
}

// SetStatus makes the duty API answer all calls with a status without carrying them out, or carry them out again if it is zero.
func (d *DutyAPI) SetStatus(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status = status
}

// Calls returns the calls that were carried out, in order.
func (d *DutyAPI) Calls() []DutyCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// Refused returns the number of calls that were refused for their token.
func (d *DutyAPI) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// Reports returns the counts of the first report of each window.
func (d *DutyAPI) Reports() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.reports)
}

// Carry carries a call out now and returns the status of its answer.
func (d *DutyAPI) Carry(c DutyCall) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.status != 0 {
		return d.status
	}
	if d.fenced && c.Token < d.highest {
		d.refused++
		return http.StatusConflict
	}
	d.highest = max(d.highest, c.Token)
	c.At = time.Now()
	d.calls = append(d.calls, c)
	if c.Duty == DutyUsage && d.reports[c.Subject] == "" {
		d.reports[c.Subject] = c.Content
	}
	return http.StatusOK
}

// Serve carries a call out and answers it, both after their delays.
func (d *DutyAPI) Serve(w http.ResponseWriter, call DutyCall) {
	d.mu.Lock()
	delay, answer := d.delay, d.answer
	d.mu.Unlock()
	time.Sleep(delay)
	status := d.Carry(call)
	time.Sleep(answer)
	w.WriteHeader(status)
}

// CheckDutyCalls returns what breaks a rule in calls that were carried out: two different reports for a window, a holder whose calls
// come again within the turn time after those of another one, and a lower token after a higher one.
func CheckDutyCalls(calls []DutyCall, turnTime time.Duration) []string {
	var broken []string
	reports := map[string]string{}
	lastOf := map[string]time.Time{} // end of the last turn of each holder that is over
	highest := int64(0)
	for i, c := range calls {
		if c.Duty == DutyUsage {
			if known, ok := reports[c.Subject]; ok && known != c.Content {
				broken = append(broken, fmt.Sprintf("window %s is reported as %s and %s", c.Subject, known, c.Content))
			}
			reports[c.Subject] = c.Content
		}
		if c.Token < highest {
			broken = append(broken, fmt.Sprintf("token %d of %s comes after %d", c.Token, c.Holder, highest))
		}
		highest = max(highest, c.Token)
		if i > 0 && calls[i-1].Holder != c.Holder {
			lastOf[calls[i-1].Holder] = calls[i-1].At
			if since := c.At.Sub(lastOf[c.Holder]); !lastOf[c.Holder].IsZero() && since < turnTime {
				broken = append(broken, fmt.Sprintf("%s calls again after %v, with %s in between", c.Holder, since, calls[i-1].Holder))
			}
		}
	}
	return broken
}
