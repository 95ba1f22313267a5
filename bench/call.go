package bench

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// call sends one request as the serving process does, and reads its answer.
func (r *rig) call(i int, a Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	x := &flow.Exchange{
		Context: ctx, ID: units.RequestID(strconv.Itoa(i)), Service: r.service,
		Tenant: &config.Tenant{Name: a.Tenant, Share: 1}, Class: &config.Class{Priority: a.Priority},
		Deadline: time.Now().Add(deadline), Job: a.Job, Idempotent: true, Streams: true, Digest: strconv.Itoa(i),
	}
	x.Call = engine.Call{RequestID: x.ID, Service: "llm", Streams: true, Priority: a.Priority}
	x.Call.Header = http.Header{}
	x.Call.Body = encodeJob(a.Job)
	began := time.Now()
	err := flow.Pipeline{r.entries[i%processes].stage}.Run(x)
	if err != nil {
		r.failed(a, err)
		return
	}
	defer x.Answer.Events.Close()
	first, late, gaps, err := readAnswer(x, began)
	if err != nil {
		r.failed(a, err)
		return
	}
	r.answered(a, first, late, gaps)
}

// readAnswer reads the stream and returns the time to the first token and how many gaps were too long.
func readAnswer(x *flow.Exchange, began time.Time) (first time.Duration, late, gaps int, err error) {
	last := time.Time{}
	for {
		event, err := x.Answer.Events.Next()
		if err != nil {
			return 0, 0, 0, err
		}
		now := time.Now()
		if event.Done {
			return first, late, gaps, nil
		}
		if last.IsZero() {
			first = now.Sub(began)
		} else {
			gaps++
			if now.Sub(last) > GapTarget {
				late++
			}
		}
		last = now
	}
}

func (r *rig) answered(a Arrival, first time.Duration, late, gaps int) {
	good := first <= FirstTokenTarget && 20*late <= gaps
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.first[a.Priority] = append(r.first[a.Priority], first)
	r.tally(a, good)
	if !good {
		r.result.Late++
		return
	}
	r.result.Good++
}

func (r *rig) failed(a Arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.tally(a, false)
	if fault.VerdictOf(err) == fault.NotRun {
		r.result.Shed++
		return
	}
	r.result.Failed++
}

func (r *rig) tally(a Arrival, good bool) {
	r.result.Tenants[a.Tenant] = r.result.Tenants[a.Tenant].plus(good)
	r.result.Classes[a.Priority] = r.result.Classes[a.Priority].plus(good)
	if a.At > r.trace.Length*2/3 {
		r.result.Rest = r.result.Rest.plus(good)
	}
}
