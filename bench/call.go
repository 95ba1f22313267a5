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

// sendRequest sends one request through the send stage of an entry process, and records its outcome.
func (r *runner) sendRequest(i int, a Arrival) {
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline)
	defer cancel()
	x := &flow.Exchange{
		Context: ctx, ID: units.RequestID(strconv.Itoa(i)), Service: r.service,
		Tenant: &config.Tenant{Name: a.Tenant, Share: 1}, Class: &config.Class{Priority: a.Priority},
		Deadline: time.Now().Add(requestDeadline), Job: a.Job, Idempotent: true, Streams: true, Digest: strconv.Itoa(i),
	}
	x.Call = engine.Call{RequestID: x.ID, Service: "llm", Streams: true, Priority: a.Priority}
	x.Call.Header = http.Header{}
	x.Call.Body = encodeJob(a.Job)
	sentAt := time.Now()
	err := flow.Pipeline{r.entries[i%entryProcesses].stage}.Run(x)
	if err != nil {
		r.recordFailure(a, err)
		return
	}
	defer x.Answer.Events.Close()
	firstToken, lateGaps, gaps, err := readAnswer(x, sentAt)
	if err != nil {
		r.recordFailure(a, err)
		return
	}
	r.recordAnswer(a, firstToken, lateGaps, gaps)
}

// readAnswer reads the stream and returns the time to the first token, the gaps above GapTarget and all gaps.
func readAnswer(x *flow.Exchange, sentAt time.Time) (firstToken time.Duration, lateGaps, gaps int, err error) {
	previous := time.Time{}
	for {
		event, err := x.Answer.Events.Next()
		if err != nil {
			return 0, 0, 0, err
		}
		now := time.Now()
		if event.Done {
			return firstToken, lateGaps, gaps, nil
		}
		if previous.IsZero() {
			firstToken = now.Sub(sentAt)
		} else {
			gaps++
			if now.Sub(previous) > GapTarget {
				lateGaps++
			}
		}
		previous = now
	}
}

// recordAnswer adds a complete answer to the result.
func (r *runner) recordAnswer(a Arrival, firstToken time.Duration, lateGaps, gaps int) {
	good := firstToken <= FirstTokenTarget && 20*lateGaps <= gaps
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.firstTokens[a.Priority] = append(r.firstTokens[a.Priority], firstToken)
	r.addTally(a, good)
	if !good {
		r.result.Late++
		return
	}
	r.result.Good++
}

// recordFailure adds a request that was shed or failed to the result.
func (r *runner) recordFailure(a Arrival, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.addTally(a, false)
	if fault.VerdictOf(err) == fault.NotRun {
		r.result.Shed++
		return
	}
	r.result.Failed++
}

func (r *runner) addTally(a Arrival, good bool) {
	r.result.Tenants[a.Tenant] = r.result.Tenants[a.Tenant].plus(good)
	r.result.Classes[a.Priority] = r.result.Classes[a.Priority].plus(good)
	if a.At > r.trace.Length*2/3 {
		r.result.LastThird = r.result.LastThird.plus(good)
	}
}
