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
	bytesPerToken          = 4
	defaultOutputTokens    = 16
	maxOutputTokens        = 4000
	maxCacheEvents         = 256
	cacheEventLossInterval = 7 // every seventh cache event is lost
	maxDoneOrders          = 16
	firstIncarnation       = 1
)

// EngineSettings configure a stand-in engine.
type EngineSettings struct {
	Name         units.EngineName
	Role         engine.Role
	Rates        Rates
	ReportLag    time.Duration // minimum age at which a load report is replaced by a new one
	ChecksFences bool          // rejects orders with a stale fencing token
	CrashText    string        // a prompt with this text crashes the engine
	Downtime     time.Duration // how long a crashed engine stays down
}

// Run is one entry of an engine's ledger of requests.
type Run struct {
	RequestID units.RequestID `json:"requestId"`
	Phase     engine.Phase    `json:"phase"`
	From      units.Tokens    `json:"from"`   // index of the first token; above zero for a resumed stream
	Tokens    units.Tokens    `json:"tokens"` // tokens written to the stream
	Started   time.Time       `json:"started"`
	Outcome   string          `json:"outcome"` // "running", "done" or the error
}

// OrderRecord is one entry of an engine's ledger of orders.
type OrderRecord struct {
	engine.Order

	At       time.Time `json:"at"`
	Outcome  string    `json:"outcome"`  // "refused", "running", "done" or "crashed"
	Conflict bool      `json:"conflict"` // arrived while another order was in progress
	Stale    bool      `json:"stale"`    // has a smaller fencing token than an earlier order

	ctx    context.Context
	cancel context.CancelFunc
}

// EngineLedger records the requests and orders that a stand-in engine received, and how often it crashed.
type EngineLedger struct {
	Name    units.EngineName `json:"name"`
	Runs    []*Run           `json:"runs"`
	Orders  []*OrderRecord   `json:"orders"`
	Crashes int              `json:"deaths"`
}

// Engine is a stand-in model engine that is served over HTTP.
type Engine struct {
	model    *Model
	settings EngineSettings
	router   *httprouter.Router
	wg       conc.WaitGroup
	ctx      context.Context

	mu             sync.Mutex
	ledger         EngineLedger
	highestFence   units.FencingToken
	currentOrder   *OrderRecord
	doneOrders     []string
	report         engine.Report
	reportedAt     time.Time
	reportSequence int64
	reportFrozen   bool // load reports are no longer updated
	incarnation    int
	events         []engine.CacheEvent
	eventCount     int64
}

// NewEngine starts a stand-in engine, and returns a function that stops it.
func NewEngine(s EngineSettings) (*Engine, func()) {
	model, stop := NewModel(s.Rates, s.Role)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		model: model, settings: s, router: httprouter.New(), ctx: ctx,
		incarnation: firstIncarnation, ledger: EngineLedger{Name: s.Name},
	}
	e.router.POST("/v1/chat/completions", e.chat)
	e.router.GET("/load", e.load)
	e.router.GET("/events", e.cacheEvents)
	e.router.POST("/orders", e.acceptOrder)
	e.router.GET("/orders", e.showState)
	e.router.POST("/fence", e.raiseFence)
	e.router.GET("/ledger", e.showLedger)
	e.router.PUT("/control/crash", e.controlCrash)
	e.router.PUT("/control/freeze", e.controlFreeze)
	return e, func() {
		cancel()
		e.wg.Wait()
		stop()
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	echoID(w, r)
	e.router.ServeHTTP(w, r)
}

// echoID names the request in the answer to it.
func echoID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(engine.HeaderRequestID); id != "" {
		w.Header().Set(engine.HeaderRequestID, id)
	}
}

// Ledger returns a copy of the ledger.
func (e *Engine) Ledger() EngineLedger {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := EngineLedger{Name: e.ledger.Name, Crashes: e.ledger.Crashes, Runs: []*Run{}, Orders: []*OrderRecord{}}
	for _, r := range e.ledger.Runs {
		run := *r
		l.Runs = append(l.Runs, &run)
	}
	for _, o := range e.ledger.Orders {
		order := *o
		l.Orders = append(l.Orders, &order)
	}
	return l
}

// Crash aborts all requests and the current order. The engine restarts with a new incarnation after its downtime.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.ledger.Crashes++
	e.incarnation++
	if e.currentOrder != nil {
		e.currentOrder.Outcome = "crashed"
		e.currentOrder.cancel()
		e.currentOrder = nil
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

// chat runs a chat request and streams its tokens as server-sent events.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body ChatBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := body.modelRequest(r)
	run := e.startRun(request)
	if e.settings.CrashText != "" && strings.Contains(request.Prompt, e.settings.CrashText) {
		e.Crash()
		e.finishRun(run, ErrCrashed)
		panic(http.ErrAbortHandler)
	}
	if request.Phase == engine.PhaseDecode {
		time.Sleep(e.settings.Rates.KVImport)
	}
	tokens, result, err := e.model.Start(r.Context(), request)
	if err != nil {
		e.rejectRun(w, run, err)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, run, body, tokens)
	e.finishRun(run, result())
	if result() != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", engine.DoneData)
	e.addCacheEvent(request.Prefix)
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

// rejectRun answers a request that the model did not accept, and removes it from the ledger.
func (e *Engine) rejectRun(w http.ResponseWriter, run *Run, err error) {
	e.mu.Lock()
	e.ledger.Runs = slices.DeleteFunc(e.ledger.Runs, func(r *Run) bool { return r == run })
	e.mu.Unlock()
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// startRun adds the request to the ledger.
func (e *Engine) startRun(request ModelRequest) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &Run{RequestID: request.ID, Phase: request.Phase, From: request.From, Started: time.Now(), Outcome: "running"}
	e.ledger.Runs = append(e.ledger.Runs, run)
	return run
}

// finishRun sets the outcome of a request in the ledger.
func (e *Engine) finishRun(run *Run, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Outcome = "done"
	if err != nil {
		run.Outcome = err.Error()
	}
}

// load answers with the last load report, which is renewed once it is older than the report lag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if e.model.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	fresh := e.model.Report()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.reportFrozen && (e.reportSequence == 0 || time.Since(e.reportedAt) >= e.settings.ReportLag) {
		e.reportSequence++
		e.report = fresh
		e.reportedAt = time.Now()
	}
	report := e.report
	report.Incarnation = strconv.Itoa(e.incarnation)
	report.Sequence = e.reportSequence
	report.AgeMS = time.Since(e.reportedAt).Milliseconds()
	writeResponse(w, report, nil)
}

// addCacheEvent records that the prefix is cached. One in cacheEventLossInterval events is lost on purpose, and a
// request without a prefix has no event; both leave a gap in the sequence numbers.
func (e *Engine) addCacheEvent(prefix string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventCount++
	if prefix == "" || e.eventCount%cacheEventLossInterval == 0 {
		return
	}
	e.events = append(e.events, engine.CacheEvent{Sequence: e.eventCount, Prefix: HashPrefix(prefix)})
	if len(e.events) > maxCacheEvents {
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
	writeResponse(w, events, nil)
}

func (e *Engine) showLedger(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeResponse(w, e.Ledger(), nil)
}

func (e *Engine) controlCrash(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.Crash()
	w.WriteHeader(http.StatusNoContent)
}

// controlFreeze stops or resumes the updates of load reports.
func (e *Engine) controlFreeze(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportFrozen = r.URL.Query().Get("on") == "true"
	w.WriteHeader(http.StatusNoContent)
}

// HashPrefix returns the hash that identifies a prompt prefix in cache events.
func HashPrefix(prefix string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prefix))
	return h.Sum64()
}
