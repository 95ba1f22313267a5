package fakes

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// TokensPerPiece is the number of KV tokens in one piece of an engine's memory.
const TokensPerPiece units.Tokens = 64

const promptCacheEntries = 64

var (
	// ErrCrashed means that the engine died while it ran the request.
	ErrCrashed = errors.New("engine crashed")
	// ErrAway means that the engine is busy with an order.
	ErrAway = errors.New("engine is away")
	// ErrWrongRole means that the engine's role does not fit the phase.
	ErrWrongRole = errors.New("engine has another role")
)

// Rates describe how fast a stand-in engine works.
type Rates struct {
	PrefillPerSecond units.Tokens  // prompt tokens a second, nothing else running
	StepBase         time.Duration // one decode step of an empty batch
	StepPerSequence  time.Duration // added for each sequence of the batch
	ChunkTokens      units.Tokens  // most prompt tokens that a mixed engine mixes into a step
	Batch            int           // most sequences in a step
	Memory           units.Pieces
	RoleChange       time.Duration // how long a change of role takes the engine away
	KVImport         time.Duration // import of a prompt's KV cache
}

// DefaultRates returns the rates of the stand-in engines.
func DefaultRates() Rates {
	return Rates{
		PrefillPerSecond: 24_000,
		StepBase:         8 * time.Millisecond,
		StepPerSequence:  250 * time.Microsecond,
		ChunkTokens:      256,
		Batch:            64,
		Memory:           2000,
		RoleChange:       4 * time.Second,
		KVImport:         10 * time.Millisecond,
	}
}

// ModelRequest is one request to a model core.
type ModelRequest struct {
	ID       units.RequestID
	Prompt   string
	Prefix   string       // the part of the prompt that other prompts share
	Input    units.Tokens // length of the prompt
	Cached   units.Tokens // length of the shared prefix
	Output   units.Tokens // tokens to generate
	From     units.Tokens // tokens that were generated before
	Phase    engine.Phase
	Priority units.Priority
}

// sequence is one work in the core's batch.
type sequence struct {
	ModelRequest
	ctx  context.Context
	left units.Tokens // prompt tokens still to prefill
	done units.Tokens
	out  chan engine.Token
	err  error
}

// Model is the core of a stand-in engine: a continuous batch stepped in real or virtual time.
type Model struct {
	rates    Rates
	mu       sync.Mutex
	waiting  []*sequence
	running  []*sequence
	prefixes []string
	role     engine.Role
	away     bool
	crashed  bool
	wake     chan struct{}
	stop     chan struct{}
	wg       conc.WaitGroup
}

// NewModel starts a core with the given role, and returns a function that stops it.
func NewModel(rates Rates, role engine.Role) (*Model, func()) {
	m := &Model{rates: rates, role: role, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	m.wg.Go(m.loop)
	return m, func() {
		close(m.stop)
		m.wg.Wait()
	}
}

// Start queues the work. Tokens arrive on the channel, which is closed at the end; then err tells how it ended.
func (m *Model) Start(ctx context.Context, w ModelRequest) (tokens <-chan engine.Token, err func() error, refused error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.crashed:
		return nil, nil, ErrCrashed
	case m.away:
		return nil, nil, ErrAway
	case !m.role.Serves(w.Phase):
		return nil, nil, ErrWrongRole
	}
	s := &sequence{ModelRequest: w, ctx: ctx, done: w.From, out: make(chan engine.Token, w.Output-w.From+1)}
	if w.Phase != engine.PhaseDecode {
		s.left = w.Input + w.From
		if w.Prefix != "" && slices.Contains(m.prefixes, w.Prefix) {
			s.left -= min(w.Cached, s.left)
		}
	}
	m.enqueue(s)
	m.signal()
	return s.out, func() error { m.mu.Lock(); defer m.mu.Unlock(); return s.err }, nil
}

// Report returns the load at this moment.
func (m *Model) Report() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := engine.Report{
		Role:        m.role,
		Running:     len(m.running),
		Waiting:     len(m.waiting),
		TotalPieces: m.rates.Memory,
		FreePieces:  m.rates.Memory - m.used(),
		Away:        m.away,
	}
	for _, s := range slices.Concat(m.running, m.waiting) {
		report.PrefillQueued += s.left
	}
	return report
}

func (m *Model) isCrashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
}

// Busy returns the number of sequences that are queued or running.
func (m *Model) Busy() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running) + len(m.waiting)
}

// Crash ends all work with ErrCrashed and refuses more until Restart.
func (m *Model) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	for _, s := range slices.Concat(m.running, m.waiting) {
		s.finish(ErrCrashed)
	}
	m.running, m.waiting, m.prefixes = nil, nil, nil
}

// Restart makes a crashed core work again, with an empty cache.
func (m *Model) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
}

// ChangeRole takes the core away for the time of a role change. Work in progress is cut off.
func (m *Model) ChangeRole(ctx context.Context, role engine.Role) error {
	m.mu.Lock()
	m.away = true
	for _, s := range slices.Concat(m.running, m.waiting) {
		s.finish(ErrAway)
	}
	m.running, m.waiting, m.prefixes = nil, nil, nil
	m.mu.Unlock()

	timer := time.NewTimer(m.rates.RoleChange)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = false
	if ctx.Err() != nil {
		return ctx.Err()
	}
	m.role = role
	return nil
}

func (m *Model) loop() {
	for {
		step, pause := m.plan()
		if !pause {
			select {
			case <-m.stop:
				return
			case <-m.wake:
				continue
			}
		}
		timer := time.NewTimer(step)
		select {
		case <-m.stop:
			timer.Stop()
			return
		case <-timer.C:
			m.emit()
		}
	}
}

// plan admits waiting work and returns how long the next step takes, or false when there is none.
func (m *Model) plan() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropCanceled()
	for len(m.waiting) > 0 && len(m.running) < m.rates.Batch && m.used() < m.rates.Memory {
		m.running = append(m.running, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	if len(m.running) == 0 {
		return 0, false
	}
	step := time.Duration(0)
	for _, s := range m.running {
		if s.left <= 0 {
			step += m.rates.StepPerSequence
		}
	}
	if step > 0 {
		step += m.rates.StepBase
	}
	return step + m.prefillStep(step > 0), true
}

// prefillStep takes prompt tokens off the sequences in order, and returns the time for them.
func (m *Model) prefillStep(decoding bool) time.Duration {
	budget := m.rates.ChunkTokens * 4
	if decoding {
		budget = m.rates.ChunkTokens
	}
	taken := units.Tokens(0)
	for _, s := range m.running {
		if s.left <= 0 || budget <= 0 {
			continue
		}
		part := min(s.left, budget)
		s.left -= part
		budget -= part
		taken += part
	}
	return time.Duration(taken) * time.Second / time.Duration(m.rates.PrefillPerSecond)
}

// emit gives one token to each sequence whose prompt is done.
func (m *Model) emit() {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := m.running[:0]
	for _, s := range m.running {
		if m.advance(s) {
			running = append(running, s)
		}
	}
	m.running = running
}

func (m *Model) advance(s *sequence) bool {
	if s.err != nil {
		return false
	}
	if s.left > 0 {
		return true
	}
	m.remember(s.Prefix)
	s.out <- engine.Token{Index: s.done, Text: TokenAt(s.Prompt, s.done)}
	s.done++
	if s.done >= s.Output || s.Phase == engine.PhasePrefill {
		s.finish(nil)
		return false
	}
	return true
}

func (m *Model) enqueue(s *sequence) {
	at := len(m.waiting)
	for at > 0 && m.waiting[at-1].Priority < s.Priority {
		at--
	}
	m.waiting = slices.Insert(m.waiting, at, s)
}

func (m *Model) dropCanceled() {
	canceled := func(s *sequence) bool {
		if s.ctx.Err() == nil {
			return false
		}
		s.finish(s.ctx.Err())
		return true
	}
	m.waiting = slices.DeleteFunc(m.waiting, canceled)
	m.running = slices.DeleteFunc(m.running, canceled)
}

func (m *Model) remember(prefix string) {
	if prefix == "" || slices.Contains(m.prefixes, prefix) {
		return
	}
	m.prefixes = append(m.prefixes, prefix)
	if len(m.prefixes) > promptCacheEntries {
		m.prefixes = m.prefixes[1:]
	}
}

func (m *Model) used() units.Pieces {
	used := units.Pieces(0)
	for _, s := range m.running {
		used += units.Pieces((s.Input + s.done + TokensPerPiece - 1) / TokensPerPiece)
	}
	return used
}

func (m *Model) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (s *sequence) finish(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	close(s.out)
}

// TokenAt returns the token that every engine generates for the prompt at the index.
func TokenAt(prompt string, index units.Tokens) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	_, _ = h.Write([]byte(strconv.FormatInt(int64(index), 10)))
	return strconv.FormatUint(uint64(h.Sum32()%100_000), 36) + " "
}
