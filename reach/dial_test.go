package reach

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/units"
)

// step is the outcome of a scripted dial after a delay.
type step struct {
	after time.Duration
	err   error
	stays bool // does not end with its context
}

// script is a test fixture: a network whose dials follow a script.
type script struct {
	*Network
	mu     sync.Mutex
	direct step
	away   map[string]step // by process
	tried  []string        // processes in order
	open   int             // connections of any kind
	names  []Process
}

// inScript runs a test with processes p0, p1, ... in virtual time. Processes are tried in this order.
func inScript(t *testing.T, direct step, away []step, test func(t *testing.T, s *script)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &script{direct: direct, away: map[string]step{}}
		for i, a := range away {
			name := fmt.Sprint("p", i)
			s.away[name] = a
			s.names = append(s.names, Process{Name: units.ProcessName(name), Address: name})
		}
		network, closeNetwork := New(Options{
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				s.mu.Lock()
				direct := s.direct
				s.mu.Unlock()
				return s.play(ctx, direct)
			},
			Tunnel: func(ctx context.Context, process, _ string) (net.Conn, error) {
				s.mu.Lock()
				s.tried = append(s.tried, process)
				s.mu.Unlock()
				return s.play(ctx, s.away[process])
			},
			Processes: func() []Process { return s.names }, Engines: func() []string { return strings.Fields("e:1 e:2 e:3") },
			Rand: func(n int) int { return n - 1 }, Clock: time.Now, Log: zerolog.Nop(),
		})
		defer closeNetwork()
		s.Network = network
		test(t, s)
	})
}

func (s *script) play(ctx context.Context, st step) (net.Conn, error) {
	if st.stays {
		time.Sleep(st.after)
	} else if !sleep(ctx, st.after) {
		return nil, ctx.Err()
	}
	if st.err != nil {
		return nil, st.err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	return &scriptConn{script: s}, nil
}

type scriptConn struct {
	net.Conn
	script *script
}

func (c *scriptConn) Close() error {
	c.script.mu.Lock()
	defer c.script.mu.Unlock()
	c.script.open--
	return nil
}

// TestDialTakesTheFirstConnection checks dials that fail or are slow while another engine failed: the way that is taken, the
// time, the processes that are tried, and that connections that are not needed are closed.
func TestDialTakesTheFirstConnection(t *testing.T) {
	const ms = time.Millisecond
	unreachable := step{after: 10 * ms, err: fmt.Errorf("dial: %w", ErrEngineUnreachable)}
	refused := step{after: 10 * ms, err: errTestRefused}
	tests := []struct {
		name     string
		direct   step
		away     []step
		isolated bool
		want     string // direct, away or error
		after    time.Duration
		tried    string
	}{
		{name: "direct", direct: step{after: 100 * ms}, away: []step{{}}, want: "direct", after: 100 * ms},
		{name: "refused", direct: refused, away: []step{{after: 20 * ms}}, want: "away", after: 30 * ms, tried: "p0"},
		{
			name: "slow", direct: step{after: time.Second}, away: []step{{after: 20 * ms}},
			want: "away", after: slowDial + 20*ms, tried: "p0",
		},
		{
			name: "slow to end", direct: step{after: 300 * ms, stays: true}, away: []step{{after: 20 * ms}},
			want: "direct", after: 300 * ms, tried: "p0",
		},
		{
			name: "slow, then connects first", direct: step{after: 200 * ms}, away: []step{{after: 100 * ms, stays: true}},
			want: "direct", after: 200 * ms, tried: "p0",
		},
		{name: "isolated", isolated: true, away: []step{{after: 20 * ms}}, want: "away", after: 20 * ms, tried: "p0"},
		{
			name: "next process after a refusal", isolated: true, away: []step{refused, refused, {after: 20 * ms}},
			want: "away", after: 40 * ms, tried: "p0 p1 p2",
		},
		{
			name: "next process after a silence", isolated: true, away: []step{{after: 5 * time.Second}, {after: 20 * ms}},
			want: "away", after: hopStagger + 20*ms, tried: "p0 p1",
		},
		{
			name: "two connect", isolated: true, away: []step{{after: 130 * ms, stays: true}, {after: 20 * ms}},
			want: "away", after: hopStagger + 20*ms, tried: "p0 p1",
		},
		{
			name: "three hang", isolated: true,
			away: []step{{after: 5 * time.Second}, {after: 5 * time.Second}, {after: 5 * time.Second}, {}},
			want: "error", after: hopTimeout, tried: "p0 p1 p2",
		},
		{
			name: "down for two processes", isolated: true, away: []step{unreachable, unreachable, unreachable, unreachable},
			want: "error", after: 20 * ms, tried: "p0 p1",
		},
		{
			name: "all refuse", isolated: true, away: []step{refused, refused, refused},
			want: "error", after: 30 * ms, tried: "p0 p1 p2",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inScript(t, tt.direct, tt.away, func(t *testing.T, s *script) {
				s.failed("e:2", false)
				if tt.isolated {
					s.failed("e:3", false)
					s.failed("e:1", false)
				}
				assert.Equal(t, s.Isolated(), tt.isolated)
				began := time.Now()
				c, err := s.Dial(t.Context(), "tcp", "e:1")
				assert.Equal(t, time.Since(began), tt.after)
				switch c.(type) {
				case *conn:
					assert.Equal(t, tt.want, "direct")
				case *awayConn:
					assert.Equal(t, tt.want, "away")
				default:
					assert.Assert(t, err != nil)
					assert.Equal(t, tt.want, "error")
				}
				if c != nil {
					_ = c.Close()
				}
				time.Sleep(6 * time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				assert.Equal(t, strings.Join(s.tried, " "), tt.tried)
				assert.Equal(t, s.open, 0)
			})
		})
	}
}

// TestSlowProcessThatLosesIsNotLeftAlone checks that an attempt that is canceled tells nothing about the process.
func TestSlowProcessThatLosesIsNotLeftAlone(t *testing.T) {
	inScript(t, step{}, []step{{after: time.Second}, {}}, func(t *testing.T, s *script) {
		for _, e := range strings.Fields("e:1 e:2 e:3") {
			s.failed(e, false)
		}
		c, err := s.Dial(t.Context(), "tcp", "e:1")
		assert.NilError(t, err)
		defer c.Close()
		synctest.Wait()
		assert.Equal(t, len(s.order()), 2)
	})
}

// TestEngineThatIsDownIsTriedOnceThroughOthers checks that dials to a crashed engine do not each ask other processes.
func TestEngineThatIsDownIsTriedOnceThroughOthers(t *testing.T) {
	unreachable := step{err: ErrEngineUnreachable}
	inScript(t, step{err: errTestRefused}, []step{unreachable, unreachable, unreachable}, func(t *testing.T, s *script) {
		s.failed("e:2", false)
		for range 5 {
			_, err := s.Dial(t.Context(), "tcp", "e:1")
			assert.ErrorIs(t, err, errTestRefused)
		}
		assert.Equal(t, len(s.tried), maxUnreachable)
		for _, e := range strings.Fields("e:1 e:2 e:3") {
			s.failed(e, false)
		}
		assert.Assert(t, s.Isolated() && !s.Stranded())
		assert.Equal(t, len(s.order()), 3)
	})
}

// TestNextPartitionTriesAllProcesses checks that outcomes of an earlier partition are forgotten.
func TestNextPartitionTriesAllProcesses(t *testing.T) {
	refused := step{err: errTestRefused}
	inScript(t, refused, []step{refused, refused}, func(t *testing.T, s *script) {
		for _, e := range strings.Fields("e:1 e:2 e:3") {
			s.failed(e, false)
		}
		_, err := s.Dial(t.Context(), "tcp", "e:1")
		assert.ErrorIs(t, err, errTestRefused)
		assert.Assert(t, s.Stranded())
		_, err = s.Dial(t.Context(), "tcp", "e:1")
		assert.ErrorIs(t, err, errNoProcess)
		s.succeeded("e:1")
		assert.Assert(t, !s.Isolated() && !s.Stranded())
		assert.Equal(t, len(s.order()), 2)
	})
}

// TestConnectionsOfADoubtAreGivenUp checks that callers learn of a direct path that returns while connections through other
// processes are open, although the process was never isolated.
func TestConnectionsOfADoubtAreGivenUp(t *testing.T) {
	inScript(t, step{err: errTestRefused}, []step{{}}, func(t *testing.T, s *script) {
		reachedAgain := 0
		s.OnReached(func() { reachedAgain++ })
		s.failed("e:2", false)
		c, err := s.Dial(t.Context(), "tcp", "e:1")
		assert.NilError(t, err)
		assert.Equal(t, s.load(), suspected)
		s.succeeded("e:3")
		assert.Equal(t, reachedAgain, 1)
		assert.NilError(t, c.Close())
		s.succeeded("e:3")
		assert.Equal(t, reachedAgain, 1)
	})
}
