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

// startTwoZones starts one process in each of two zones, with the plain service in the first.
func startTwoZones(tc *testCluster) (a, b *node, s *fakes.Service) {
	tc.zones("za", "zb")
	s = tc.service("booking-1", "za")
	tc.publish()
	a, b = tc.start("a", "za"), tc.start("b", "zb")
	tc.await("link between zones is open", func() bool { return len(a.mesh.Links()) == 1 && len(b.mesh.Links()) == 1 })
	return a, b, s
}

// runCount returns how often the service ran a booking with the key.
func runCount(s *fakes.Service, key string) int {
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
		// run sends bookings with the key "k" under faults and returns all replies.
		run func(tc *testCluster, a, b *node, s *fakes.Service) []reply
		// wantRuns is how often the key has run in the end.
		wantRuns int
		// wantVerdicts are the verdicts of the replies, empty for a caller that was cut off.
		wantVerdicts []string
	}{
		{
			name: "twice in a row",
			run: func(tc *testCluster, a, b *node, _ *fakes.Service) []reply {
				return []reply{tc.book(a, "k", "x"), tc.book(b, "k", "x")}
			},
			wantRuns: 1, wantVerdicts: []string{"ran", "ran"},
		},
		{
			name: "concurrently through two zones",
			run: func(tc *testCluster, a, b *node, s *fakes.Service) []reply {
				s.SetFaults(fakes.ServiceFaults{Delay: time.Second})
				nodes := []*node{a, b}
				return background(2, func(i int) reply { return tc.book(nodes[i], "k", "x") })()
			},
			wantRuns: 1, wantVerdicts: []string{"ran", "ran"},
		},
		{
			name: "holder of the claim is cut off between claim and send",
			run: func(tc *testCluster, a, b *node, _ *fakes.Service) []reply {
				tc.onClaimState(claim.StateOpen, func() { tc.isolate("b") })
				first := tc.book(b, "k", "x")
				time.Sleep(10 * time.Second)
				return []reply{first, tc.book(a, "k", "x")}
			},
			wantRuns: 0, wantVerdicts: []string{"", "mayHaveRun"},
		},
		{
			name: "holder of the claim is cut off between send and answer",
			run: func(tc *testCluster, a, b *node, s *fakes.Service) []reply {
				s.OnBook(func(fakes.Booking) { tc.isolate("b") })
				s.SetFaults(fakes.ServiceFaults{AnswerDelay: time.Second})
				first := tc.book(b, "k", "x")
				time.Sleep(10 * time.Second)
				return []reply{first, tc.book(a, "k", "x")}
			},
			wantRuns: 1, wantVerdicts: []string{"", "mayHaveRun"},
		},
		{
			name: "platform is lost before the answer is recorded",
			run: func(tc *testCluster, a, b *node, s *fakes.Service) []reply {
				s.OnBook(func(fakes.Booking) { tc.network.SetPartition("a", platformHost, true) })
				first := tc.book(a, "k", "x")
				return []reply{first, tc.book(b, "k", "x", "X-Deadline-Ms", "3000")}
			},
			wantRuns: 1, wantVerdicts: []string{"ran", "mayHaveRun"},
		},
		{
			name: "answer is recorded late",
			run: func(tc *testCluster, a, b *node, s *fakes.Service) []reply {
				s.OnBook(func(fakes.Booking) { tc.network.SetPartition("a", platformHost, true) })
				first := tc.book(a, "k", "x")
				tc.network.SetPartition("a", platformHost, false)
				time.Sleep(15 * time.Second)
				return []reply{first, tc.book(b, "k", "x")}
			},
			wantRuns: 1, wantVerdicts: []string{"ran", "ran"},
		},
		{
			name: "claim is written but the response to the write is lost",
			run: func(tc *testCluster, a, b *node, _ *fakes.Service) []reply {
				tc.platform.SetFaults(fakes.PlatformFaults{LoseAnswers: 1, LoseKeys: claim.Prefix})
				return []reply{tc.book(a, "k", "x"), tc.book(b, "k", "x")}
			},
			wantRuns: 1, wantVerdicts: []string{"ran", "ran"},
		},
		{
			name: "platform is down",
			run: func(tc *testCluster, a, _ *node, _ *fakes.Service) []reply {
				tc.platform.SetFaults(fakes.PlatformFaults{Down: true})
				first := tc.book(a, "k", "x")
				tc.platform.SetFaults(fakes.PlatformFaults{})
				return []reply{first, tc.book(a, "k", "x")}
			},
			wantRuns: 1, wantVerdicts: []string{"notRun", "ran"},
		},
		{
			name: "same key with another body",
			run: func(tc *testCluster, a, b *node, _ *fakes.Service) []reply {
				return []reply{tc.book(a, "k", "x"), tc.book(b, "k", "y")}
			},
			wantRuns: 1, wantVerdicts: []string{"ran", "notRun"},
		},
		{
			name: "upstream is unreachable and the key is sent again",
			run: func(tc *testCluster, a, _ *node, _ *fakes.Service) []reply {
				tc.network.SetPartition("a", "booking-1", true)
				first := tc.book(a, "k", "x")
				tc.network.SetPartition("a", "booking-1", false)
				time.Sleep(2 * time.Second)
				return []reply{first, tc.book(a, "k", "x")}
			},
			wantRuns: 1, wantVerdicts: []string{"notRun", "ran"},
		},
		{
			name: "upstream runs the call and cuts the connection",
			run: func(tc *testCluster, a, b *node, s *fakes.Service) []reply {
				s.SetFaults(fakes.ServiceFaults{Abort: true})
				first := tc.book(a, "k", "x")
				s.SetFaults(fakes.ServiceFaults{})
				return []reply{first, tc.book(b, "k", "x", "X-Deadline-Ms", "2000")}
			},
			wantRuns: 1, wantVerdicts: []string{"mayHaveRun", "mayHaveRun"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runCluster(t, func(tc *testCluster) {
				a, b, s := startTwoZones(tc)
				replies := tt.run(tc, a, b, s)
				var verdicts []string
				for _, r := range replies {
					verdicts = append(verdicts, r.verdict())
				}
				assert.DeepEqual(t, verdicts, tt.wantVerdicts)
				assert.Equal(t, runCount(s, "k"), tt.wantRuns)
				assertSameBodies(t, replies)
			})
		})
	}
}

// TestFailedBookingIsNotRepeatedElsewhere lets every instance run the call and then abort the connection. The booking
// must not be retried on another instance, since it may have run.
func TestFailedBookingIsNotRepeatedElsewhere(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.zones("za", "zb")
		instances := []*fakes.Service{
			tc.service("booking-1", "za"), tc.service("booking-2", "za"), tc.service("booking-3", "zb"),
		}
		tc.publish()
		a := tc.start("a", "za")
		tc.start("b", "zb")
		tc.await("link is open", func() bool { return len(a.mesh.Links()) == 1 })
		for _, s := range instances {
			s.SetFaults(fakes.ServiceFaults{Abort: true})
		}
		r := tc.book(a, "k", "x")
		assert.Equal(t, r.verdict(), "mayHaveRun")
		time.Sleep(10 * time.Second)
		total := 0
		for _, s := range instances {
			total += runCount(s, "k")
		}
		assert.Equal(t, total, 1)
	})
}

// onClaimState calls f during the write that puts a claim into the state.
func (tc *testCluster) onClaimState(state claim.State, f func()) {
	tc.store.OnPut(func(o objapi.Object) {
		var c claim.Claim
		if strings.HasPrefix(o.Key, claim.Prefix) && o.Decode(&c) == nil && c.State == state {
			f()
		}
	})
}

// assertSameBodies fails the test unless all successful replies have the same body.
func assertSameBodies(t *testing.T, replies []reply) {
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
