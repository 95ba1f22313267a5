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

// TokensPerPiece is the number of tokens in one piece, the unit in which an engine allocates KV cache memory.
const TokensPerPiece units.Tokens = 64

const maxCachedPrefixes = 64

var (
	// ErrCrashed means that the engine crashed while it ran the request, or is down after a crash.
	ErrCrashed = errors.New("engine crashed")
	// ErrChangingRole means that a role change interrupted the request or is in progress.
	ErrChangingRole = errors.New("engine is changing its role")
	// ErrWrongRole means that the engine's role does not serve the phase of the request.
	ErrWrongRole = errors.New("engine's role does not serve the phase of the request")
)

// Rates set the speed and the capacity of a stand-in engine.
type Rates struct {
	PrefillPerSecond units.Tokens  // prompt tokens per second
	StepBase         time.Duration // fixed part of a step that decodes
	StepPerSequence  time.Duration // added for each decoding sequence
	ChunkTokens      units.Tokens  // prefill limit of a step that also decodes; four times as much otherwise
	Batch            int           // maximum sequences in a step
	Memory           units.Pieces  // KV cache capacity
	RoleChange       time.Duration // how long a role change takes, during which the engine runs no requests
	KVImport         time.Duration // time to import the KV cache of a prompt
}

// DefaultRates returns the rates of the stand-in engines in the demo and the tests.
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

// ModelRequest is one request to a Model.
type ModelRequest struct {
	ID       units.RequestID
	Prompt   string
	Prefix   string       // part of the prompt that is shared with other prompts
	Input    units.Tokens // length of the prompt
	Shared   units.Tokens // length of the shared prefix
	Output   units.Tokens // tokens to generate
	From     units.Tokens // tokens generated before the stream was resumed
	Phase    engine.Phase
	Priority units.Priority
}

// sequence is a request in the queue or in the batch.
type sequence struct {
	ModelRequest
	ctx         context.Context
	prefillLeft units.Tokens // tokens still to prefill
	generated   units.Tokens // including those before the stream was resumed
	tokens      chan engine.Token
	err         error
}

// Model simulates the scheduler of a model engine: continuous batching with chunked prefill, in real or virtual time.
type Model struct {
	rates        Rates
	mu           sync.Mutex
	waiting      []*sequence
	running      []*sequence
	prefixes     []string // prefix cache, oldest entry first
	role         engine.Role
	changingRole bool
	crashed      bool
	wake         chan struct{}
	stop         chan struct{}
	wg           conc.WaitGroup
}

// NewModel starts a model with the given role, and returns a function that stops it.
func NewModel(rates Rates, role engine.Role) (*Model, func()) {
	m := &Model{rates: rates, role: role, wake: make(chan struct{}, 1), stop: make(chan struct{})}
	m.wg.Go(m.loop)
	return m, func() {
		close(m.stop)
		m.wg.Wait()
	}
}

// Start queues the request, or returns an error if the model refuses it. The tokens arrive on the channel, which is
// closed at the end. After that, result returns why the request ended early, or nil.
func (m *Model) Start(
	ctx context.Context, request ModelRequest,
) (tokens <-chan engine.Token, result func() error, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.crashed:
		return nil, nil, ErrCrashed
	case m.changingRole:
		return nil, nil, ErrChangingRole
	case !m.role.Serves(request.Phase):
		return nil, nil, ErrWrongRole
	}
	s := &sequence{
		ModelRequest: request, ctx: ctx, generated: request.From,
		tokens: make(chan engine.Token, request.Output-request.From+1),
	}
	if request.Phase != engine.PhaseDecode {
		s.prefillLeft = request.Input + request.From
		if request.Prefix != "" && slices.Contains(m.prefixes, request.Prefix) {
			s.prefillLeft -= min(request.Shared, s.prefillLeft)
		}
	}
	m.enqueue(s)
	m.wakeLoop()
	return s.tokens, func() error { m.mu.Lock(); defer m.mu.Unlock(); return s.err }, nil
}

// Report returns the current load.
func (m *Model) Report() engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := engine.Report{
		Role:        m.role,
		Running:     len(m.running),
		Waiting:     len(m.waiting),
		TotalPieces: m.rates.Memory,
		FreePieces:  m.rates.Memory - m.usedPieces(),
		Away:        m.changingRole,
	}
	for _, s := range slices.Concat(m.running, m.waiting) {
		report.PrefillQueued += s.prefillLeft
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

// Crash ends all requests with ErrCrashed and refuses new ones until Restart.
func (m *Model) Crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	for _, s := range slices.Concat(m.running, m.waiting) {
		s.finish(ErrCrashed)
	}
	m.running, m.waiting, m.prefixes = nil, nil, nil
}

// Restart accepts requests again after a crash, with an empty prefix cache.
func (m *Model) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = false
}

// ChangeRole ends all requests with ErrChangingRole and sets the role after the duration of a role change, during which
// new requests are refused. The role stays the same if the context ends first.
func (m *Model) ChangeRole(ctx context.Context, role engine.Role) error {
	m.mu.Lock()
	m.changingRole = true
	for _, s := range slices.Concat(m.running, m.waiting) {
		s.finish(ErrChangingRole)
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
	m.changingRole = false
	if ctx.Err() != nil {
		return ctx.Err()
	}
	m.role = role
	return nil
}

// loop runs one step after the other, and waits for Start while there is nothing to run.
func (m *Model) loop() {
	for {
		step, ok := m.planStep()
		if !ok {
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
			m.emitTokens()
		}
	}
}

// planStep admits waiting requests to the batch and returns the duration of the next step, or false if there is none.
func (m *Model) planStep() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropCanceled()
	for len(m.waiting) > 0 && len(m.running) < m.rates.Batch && m.usedPieces() < m.rates.Memory {
		m.running = append(m.running, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	if len(m.running) == 0 {
		return 0, false
	}
	step := time.Duration(0)
	for _, s := range m.running {
		if s.prefillLeft <= 0 {
			step += m.rates.StepPerSequence
		}
	}
	if step > 0 {
		step += m.rates.StepBase
	}
	return step + m.prefillStep(step > 0), true
}

// prefillStep prefills the next chunk of prompt tokens, sequence by sequence, and returns the time that it takes.
func (m *Model) prefillStep(decoding bool) time.Duration {
	budget := m.rates.ChunkTokens * 4
	if decoding {
		budget = m.rates.ChunkTokens
	}
	prefilled := units.Tokens(0)
	for _, s := range m.running {
		if s.prefillLeft <= 0 || budget <= 0 {
			continue
		}
		chunk := min(s.prefillLeft, budget)
		s.prefillLeft -= chunk
		budget -= chunk
		prefilled += chunk
	}
	return time.Duration(prefilled) * time.Second / time.Duration(m.rates.PrefillPerSecond)
}

// emitTokens generates one token for each prefilled sequence, and removes finished sequences from the batch.
func (m *Model) emitTokens() {
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

// advance generates the next token once the prompt is prefilled. It reports whether the sequence stays in the batch.
func (m *Model) advance(s *sequence) bool {
	if s.err != nil {
		return false
	}
	if s.prefillLeft > 0 {
		return true
	}
	m.cachePrefix(s.Prefix)
	s.tokens <- engine.Token{Index: s.generated, Text: TokenAt(s.Prompt, s.generated)}
	s.generated++
	if s.generated >= s.Output || s.Phase == engine.PhasePrefill {
		s.finish(nil)
		return false
	}
	return true
}

// enqueue inserts the sequence behind all waiting ones of the same or a higher priority.
func (m *Model) enqueue(s *sequence) {
	i := len(m.waiting)
	for i > 0 && m.waiting[i-1].Priority < s.Priority {
		i--
	}
	m.waiting = slices.Insert(m.waiting, i, s)
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

// cachePrefix adds the prefix to the prefix cache, from which the oldest entry is evicted.
func (m *Model) cachePrefix(prefix string) {
	if prefix == "" || slices.Contains(m.prefixes, prefix) {
		return
	}
	m.prefixes = append(m.prefixes, prefix)
	if len(m.prefixes) > maxCachedPrefixes {
		m.prefixes = m.prefixes[1:]
	}
}

func (m *Model) usedPieces() units.Pieces {
	used := units.Pieces(0)
	for _, s := range m.running {
		used += units.Pieces((s.Input + s.generated + TokensPerPiece - 1) / TokensPerPiece)
	}
	return used
}

func (m *Model) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// finish sets the outcome and closes the channel, unless the sequence ended with an error before.
func (s *sequence) finish(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	close(s.tokens)
}

// TokenAt returns the token at an index of the answer to a prompt. All engines generate the same tokens for a prompt,
// so that another engine can resume the stream.
func TokenAt(prompt string, index units.Tokens) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	_, _ = h.Write([]byte(strconv.FormatInt(int64(index), 10)))
	return strconv.FormatUint(uint64(h.Sum32()%100_000), 36) + " "
}
