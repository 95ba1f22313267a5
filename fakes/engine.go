package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/buckthorntrack/buckthorntrack/engine"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	bytesPerToken    = 4
	defaultOutput    = 16
	maxOutput        = 4000
	cacheEventsKept  = 256
	cacheEventGap    = 7 // every seventh cache event is lost
	doneOrdersKept   = 16
	startOfNumbering = 1
)

// EngineSettings describe a stand-in engine.
type EngineSettings struct {
	Name         units.EngineName
	Role         engine.Role
	Rates        Rates
	ReportLag    time.Duration
	ChecksFences bool
	CrashText    string        // a prompt with this text crashes the engine
	Downtime     time.Duration // how long a crashed engine stays away
}

// Run is one entry of an engine's ledger of requests.
type Run struct {
	RequestID units.RequestID `json:"requestId"`
	Phase     engine.Phase    `json:"phase"`
	From      units.Tokens    `json:"from"`
	Tokens    units.Tokens    `json:"tokens"`
	Started   time.Time       `json:"started"`
	Outcome   string          `json:"outcome"` // running, done or the error
}

// HeldOrder is one entry of an engine's ledger of orders.
type HeldOrder struct {
	engine.Order

	At       time.Time `json:"at"`
	Outcome  string    `json:"outcome"`  // refused, running, done or crashed
	Conflict bool      `json:"conflict"` // arrived while another order was in progress
	Stale    bool      `json:"stale"`    // carried a smaller fencing number than an earlier order

	ctx    context.Context
	cancel context.CancelFunc
}

// EngineLedger is what a stand-in engine ran and which orders it held.
type EngineLedger struct {
	Name   units.EngineName `json:"name"`
	Runs   []*Run           `json:"runs"`
	Orders []*HeldOrder     `json:"orders"`
	Deaths int              `json:"deaths"`
}

// Engine is a stand-in model engine behind HTTP.
type Engine struct {
	model    *Model
	settings EngineSettings
	router   *httprouter.Router
	wg       conc.WaitGroup
	ctx      context.Context

	mu          sync.Mutex
	ledger      EngineLedger
	highest     units.FencingToken
	current     *HeldOrder
	done        []string
	report      engine.Report
	reportAt    time.Time
	sequence    int64
	frozen      bool
	incarnation int
	events      []engine.CacheEvent
	eventCount  int64
}

// NewEngine starts a stand-in engine, and returns a function that stops it.
func NewEngine(s EngineSettings) (*Engine, func()) {
	model, stop := NewModel(s.Rates, s.Role)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		model: model, settings: s, router: httprouter.New(), ctx: ctx,
		incarnation: startOfNumbering, ledger: EngineLedger{Name: s.Name},
	}
	e.router.POST("/v1/chat/completions", e.chat)
	e.router.GET("/load", e.load)
	e.router.GET("/events", e.cacheEvents)
	e.router.POST("/orders", e.order)
	e.router.GET("/orders", e.state)
	e.router.POST("/fence", e.raise)
	e.router.GET("/ledger", e.showLedger)
	e.router.PUT("/control/crash", e.crashNow)
	e.router.PUT("/control/freeze", e.freeze)
	return e, func() {
		cancel()
		e.wg.Wait()
		stop()
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() EngineLedger {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := EngineLedger{Name: e.ledger.Name, Deaths: e.ledger.Deaths, Runs: []*Run{}, Orders: []*HeldOrder{}}
	for _, r := range e.ledger.Runs {
		kept := *r
		l.Runs = append(l.Runs, &kept)
	}
	for _, o := range e.ledger.Orders {
		kept := *o
		l.Orders = append(l.Orders, &kept)
	}
	return l
}

// Crash ends all work at once. The engine comes back after its downtime.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.ledger.Deaths++
	e.incarnation++
	if e.current != nil {
		e.current.Outcome = "crashed"
		e.current.cancel()
		e.current = nil
	}
	e.events = nil
	e.mu.Unlock()
	e.model.Crash()
	e.wg.Go(func() {
		select {
		case <-e.ctx.Done():
		case <-time.After(e.settings.Downtime):
			e.model.Restart()
		}
	})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body ChatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	work := body.work(r)
	run := e.begin(work)
	if e.settings.CrashText != "" && strings.Contains(work.Prompt, e.settings.CrashText) {
		e.Crash()
		e.finish(run, ErrCrashed)
		panic(http.ErrAbortHandler)
	}
	if work.Phase == engine.PhaseDecode {
		time.Sleep(e.settings.Rates.KVImport)
	}
	tokens, result, err := e.model.Start(r.Context(), work)
	if err != nil {
		e.refuse(w, run, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, run, body, tokens)
	e.finish(run, result())
	if result() != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", engine.DoneData)
	e.publish(work.Prefix)
}

func (e *Engine) stream(w http.ResponseWriter, run *Run, body ChatBody, tokens <-chan engine.Token) {
	flusher := http.NewResponseController(w)
	for t := range tokens {
		chunk := NewChatChunk(string(run.RequestID), body.Model, t.Text)
		data, _ := json.Marshal(chunk)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", t.Index, data)
		if len(tokens) == 0 {
			_ = flusher.Flush()
		}
		e.mu.Lock()
		run.Tokens++
		e.mu.Unlock()
	}
}

// refuse answers a request that never started.
func (e *Engine) refuse(w http.ResponseWriter, run *Run, err error) {
	e.mu.Lock()
	e.ledger.Runs = slices.DeleteFunc(e.ledger.Runs, func(r *Run) bool { return r == run })
	e.mu.Unlock()
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func (e *Engine) begin(work ModelRequest) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &Run{RequestID: work.ID, Phase: work.Phase, From: work.From, Started: time.Now(), Outcome: "running"}
	e.ledger.Runs = append(e.ledger.Runs, run)
	return run
}

func (e *Engine) finish(run *Run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Outcome = "done"
	if err != nil {
		run.Outcome = err.Error()
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.model.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	fresh := e.model.Report()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.frozen && (e.sequence == 0 || time.Since(e.reportAt) >= e.settings.ReportLag) {
		e.sequence++
		e.report = fresh
		e.reportAt = time.Now()
	}
	report := e.report
	report.Incarnation = strconv.Itoa(e.incarnation)
	report.Sequence = e.sequence
	report.AgeMS = time.Since(e.reportAt).Milliseconds()
	answer(w, report, nil)
}

func (e *Engine) publish(prefix string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventCount++
	if prefix == "" || e.eventCount%cacheEventGap == 0 {
		return
	}
	e.events = append(e.events, engine.CacheEvent{Sequence: e.eventCount, Prefix: HashPrefix(prefix)})
	if len(e.events) > cacheEventsKept {
		e.events = e.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after := queryVersion(r, "after")
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []engine.CacheEvent{}
	for _, event := range e.events {
		if event.Sequence > int64(after) {
			events = append(events, event)
		}
	}
	answer(w, events, nil)
}

func (e *Engine) showLedger(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer(w, e.Ledger(), nil)
}

func (e *Engine) crashNow(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.Crash()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) freeze(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = r.URL.Query().Get("on") == "true"
	w.WriteHeader(http.StatusNoContent)
}

// HashPrefix returns the identity of a prompt's prefix in cache events.
func HashPrefix(prefix string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prefix))
	return h.Sum64()
}
