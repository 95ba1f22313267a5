package serve

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/claim"
	"github.com/buckthorntrack/buckthorntrack/fakes"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/objapi"
)

// twoZones starts two processes in two zones, with the plain service in the first.
func twoZones(w *world) (a, b *node, s *fakes.Service) {
	w.zones("za", "zb")
	s = w.service("booking-1", "za")
	w.publish()
	a, b = w.start("a", "za"), w.start("b", "zb")
	w.await("link between zones", func() bool { return len(a.mesh.Links()) == 1 && len(b.mesh.Links()) == 1 })
	return a, b, s
}

// ran counts how often the key ran.
func ran(s *fakes.Service, key string) int {
	count := 0
	for _, b := range s.Bookings() {
		if b.Key == key {
			count++
		}
	}
	return count
}

func TestBookingRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// run sends under the key "k" with faults, and returns all replies.
		run func(w *world, a, b *node, s *fakes.Service) []reply
		// ran is how often the key ran in the end.
		ran int
		// verdicts are those of the replies; empty for a caller that was cut off.
		verdicts []string
	}{
		{
			name: "twice in a row",
			run: func(w *world, a, b *node, _ *fakes.Service) []reply {
				return []reply{w.book(a, "k", "x"), w.book(b, "k", "x")}
			},
			ran: 1, verdicts: []string{"ran", "ran"},
		},
		{
			name: "at once through two zones",
			run: func(w *world, a, b *node, s *fakes.Service) []reply {
				s.SetFaults(fakes.ServiceFaults{Delay: time.Second})
				nodes := []*node{a, b}
				return background(2, func(i int) reply { return w.book(nodes[i], "k", "x") })()
			},
			ran: 1, verdicts: []string{"ran", "ran"},
		},
		{
			name: "holder dies between claim and send",
			run: func(w *world, a, b *node, _ *fakes.Service) []reply {
				w.onClaim(claim.StateOpen, func() { w.isolate("b") })
				first := w.book(b, "k", "x")
				time.Sleep(10 * time.Second)
				return []reply{first, w.book(a, "k", "x")}
			},
			ran: 0, verdicts: []string{"", "mayHaveRun"},
		},
		{
			name: "holder dies between send and answer",
			run: func(w *world, a, b *node, s *fakes.Service) []reply {
				s.OnBook(func(fakes.Booking) { w.isolate("b") })
				s.SetFaults(fakes.ServiceFaults{AnswerDelay: time.Second})
				first := w.book(b, "k", "x")
				time.Sleep(10 * time.Second)
				return []reply{first, w.book(a, "k", "x")}
			},
			ran: 1, verdicts: []string{"", "mayHaveRun"},
		},
		{
			name: "answer cannot be recorded before the caller has it",
			run: func(w *world, a, b *node, s *fakes.Service) []reply {
				s.OnBook(func(fakes.Booking) { w.network.SetPartition("a", platformHost, true) })
				first := w.book(a, "k", "x")
				return []reply{first, w.book(b, "k", "x", "X-Deadline-Ms", "3000")}
			},
			ran: 1, verdicts: []string{"ran", "mayHaveRun"},
		},
		{
			name: "answer is recorded late",
			run: func(w *world, a, b *node, s *fakes.Service) []reply {
				s.OnBook(func(fakes.Booking) { w.network.SetPartition("a", platformHost, true) })
				first := w.book(a, "k", "x")
				w.network.SetPartition("a", platformHost, false)
				time.Sleep(15 * time.Second)
				return []reply{first, w.book(b, "k", "x")}
			},
			ran: 1, verdicts: []string{"ran", "ran"},
		},
		{
			name: "write of the claim takes effect and its answer is lost",
			run: func(w *world, a, b *node, _ *fakes.Service) []reply {
				w.platform.SetFaults(fakes.PlatformFaults{LoseAnswers: 1, LoseKeys: claim.Prefix})
				return []reply{w.book(a, "k", "x"), w.book(b, "k", "x")}
			},
			ran: 1, verdicts: []string{"ran", "ran"},
		},
		{
			name: "platform is out",
			run: func(w *world, a, _ *node, _ *fakes.Service) []reply {
				w.platform.SetFaults(fakes.PlatformFaults{Down: true})
				first := w.book(a, "k", "x")
				w.platform.SetFaults(fakes.PlatformFaults{})
				return []reply{first, w.book(a, "k", "x")}
			},
			ran: 1, verdicts: []string{"notRun", "ran"},
		},
		{
			name: "same key with another body",
			run: func(w *world, a, b *node, _ *fakes.Service) []reply {
				return []reply{w.book(a, "k", "x"), w.book(b, "k", "y")}
			},
			ran: 1, verdicts: []string{"ran", "notRun"},
		},
		{
			name: "upstream cannot be reached and the key is sent again",
			run: func(w *world, a, _ *node, _ *fakes.Service) []reply {
				w.network.SetPartition("a", "booking-1", true)
				first := w.book(a, "k", "x")
				w.network.SetPartition("a", "booking-1", false)
				time.Sleep(2 * time.Second)
				return []reply{first, w.book(a, "k", "x")}
			},
			ran: 1, verdicts: []string{"notRun", "ran"},
		},
		{
			name: "upstream runs the call and cuts the connection",
			run: func(w *world, a, b *node, s *fakes.Service) []reply {
				s.SetFaults(fakes.ServiceFaults{Abort: true})
				first := w.book(a, "k", "x")
				s.SetFaults(fakes.ServiceFaults{})
				return []reply{first, w.book(b, "k", "x", "X-Deadline-Ms", "2000")}
			},
			ran: 1, verdicts: []string{"mayHaveRun", "mayHaveRun"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				a, b, s := twoZones(w)
				replies := tt.run(w, a, b, s)
				var verdicts []string
				for _, r := range replies {
					verdicts = append(verdicts, r.verdict())
				}
				assert.DeepEqual(t, verdicts, tt.verdicts)
				assert.Equal(t, ran(s, "k"), tt.ran)
				wantSameBodies(t, replies)
			})
		})
	}
}

// TestFailedBookingIsNotRepeatedElsewhere has a second instance at hand when the first one runs the call and breaks off.
func TestFailedBookingIsNotRepeatedElsewhere(t *testing.T) {
	inWorld(t, func(w *world) {
		w.zones("za", "zb")
		instances := []*fakes.Service{
			w.service("booking-1", "za"), w.service("booking-2", "za"), w.service("booking-3", "zb"),
		}
		w.publish()
		a := w.start("a", "za")
		w.start("b", "zb")
		w.await("link", func() bool { return len(a.mesh.Links()) == 1 })
		for _, s := range instances {
			s.SetFaults(fakes.ServiceFaults{Abort: true})
		}
		r := w.book(a, "k", "x")
		assert.Equal(t, r.verdict(), "mayHaveRun")
		time.Sleep(10 * time.Second)
		total := 0
		for _, s := range instances {
			total += ran(s, "k")
		}
		assert.Equal(t, total, 1)
	})
}

// onClaim calls f within the write that brings a claim into the state.
func (w *world) onClaim(state claim.State, f func()) {
	w.store.OnPut(func(o objapi.Object) {
		var c claim.Claim
		if strings.HasPrefix(o.Key, claim.Prefix) && o.Decode(&c) == nil && c.State == state {
			f()
		}
	})
}

// wantSameBodies fails the test unless all callers that were told of success got the same answer.
func wantSameBodies(t *testing.T, replies []reply) {
	t.Helper()
	body := ""
	for _, r := range replies {
		if r.verdict() != fault.Ran.String() || r.status != http.StatusCreated {
			continue
		}
		if body != "" {
			assert.Equal(t, r.body, body)
		}
		body = r.body
	}
}
