package front

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/pace"
	"github.com/buckthorntrack/buckthorntrack/pick"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/units"
)

// ExplainPath is the path of explanations at the listener of the metrics.
const ExplainPath = "/v1/explain"

// maxQuestionBytes bounds a question.
const maxQuestionBytes = 64 << 10

// Question describes a request whose decision is explained.
type Question struct {
	Method  string          `json:"method"`
	Host    string          `json:"host"`
	Path    string          `json:"path"` // with the query, as it would be sent
	Header  http.Header     `json:"header,omitempty"`
	ID      units.RequestID `json:"id,omitempty"`
	Account string          `json:"account,omitempty"`
	Tokens  units.Tokens    `json:"tokens,omitempty"` // of a prompt, in place of one in the header
	Output  units.Tokens    `json:"output,omitempty"` // tokens to generate
	Bytes   int64           `json:"bytes,omitempty"`  // size of the body
}

// secretHeaders hold keys. They are removed from a question before it is sent, and again when it arrives.
var secretHeaders = []string{"Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key"}

// RemoveKeys removes headers that may hold keys.
func (q *Question) RemoveKeys() {
	for _, name := range secretHeaders {
		q.Header.Del(name)
	}
}

// Explanation is the decision that a process would make for a request now.
type Explanation struct {
	Process       units.ProcessName     `json:"process"`
	ConfigVersion units.Revision        `json:"configVersion"`
	ConfigAgeMS   int64                 `json:"configAgeMs"`  // since the platform confirmed it, -1 if not known
	EnginesAgeMS  int64                 `json:"enginesAgeMs"` // the same of the registry
	Account       string                `json:"account,omitempty"`
	Route         string                `json:"route,omitempty"`
	Service       units.ServiceName     `json:"service,omitempty"`
	Class         string                `json:"class,omitempty"`
	TimeoutMS     int64                 `json:"timeoutMs,omitempty"`
	Version       units.SoftwareVersion `json:"version,omitempty"`
	Admitted      bool                  `json:"admitted"`
	Status        int                   `json:"status,omitempty"` // with which the request would be refused
	Code          fault.Code            `json:"code,omitempty"`
	Reason        string                `json:"reason"`
	AllLoads      bool                  `json:"allLoads"` // false: a request asks for loads first, these are the latest known ones
	Prefill       units.EngineName      `json:"prefill,omitempty"`
	Run           units.EngineName      `json:"run,omitempty"`
	EstimateMS    int64                 `json:"estimateMs"`
	Candidates    []Candidate           `json:"candidates"`
}

// Candidate is an engine in an Explanation.
type Candidate struct {
	Engine        units.EngineName `json:"engine"`
	Use           string           `json:"use"` // chosen, compared, or why it is not compared
	Role          string           `json:"role"`
	Place         units.PlaceName  `json:"place"`
	EstimateMS    int64            `json:"estimateMs"` // -1 without a plan
	RankingMS     int64            `json:"rankingMs"`  // with penalties, -1 without a plan
	WaitMS        int64            `json:"waitMs"`
	Running       int              `json:"running"`
	Slots         int              `json:"slots"`
	LoadAgeMS     int64            `json:"loadAgeMs"` // of what another process told, -1: counted here only
	Allowance     int              `json:"allowance"` // by its pace, 0 for any number
	HeldBack      string           `json:"heldBack"`
	CachedTokens  units.Tokens     `json:"cachedTokens"`
	TransferBytes int64            `json:"transferBytes"`
}

// metricsHandler serves metrics and explanations.
func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.metrics.Handler())
	mux.HandleFunc("POST "+ExplainPath, p.handleExplain)
	return mux
}

func (p *Process) handleExplain(w http.ResponseWriter, r *http.Request) {
	var q Question
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(body)).Decode(&q)
	}
	if err != nil {
		http.Error(w, "question is malformed", http.StatusBadRequest) // the cause may quote a key
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.Explain(r, q))
}

// Explain returns the decision that would be made for a request now. It sends and counts nothing.
func (p *Process) Explain(asked *http.Request, q Question) Explanation {
	q.RemoveKeys()
	e := Explanation{Process: p.settings.Process.Name, ConfigAgeMS: -1, EnginesAgeMS: -1, Account: q.Account, Candidates: []Candidate{}}
	if age, ok := p.mirror.Age(p.engineSink.adapter.ConfigPrefix); ok {
		e.ConfigAgeMS = age.Milliseconds()
	}
	if age, ok := p.mirror.Age(p.engineSink.adapter.EnginesPrefix); ok {
		e.EnginesAgeMS = age.Milliseconds()
	}
	x := &proxy.Exchange{Context: asked.Context(), Request: q.request(), Config: p.config.Load(), Started: p.clock()}
	err := p.explainStages(x, q)
	if x.Config != nil {
		e.ConfigVersion = x.Config.Revision
	}
	if x.Route != nil {
		e.Route, e.Class, e.TimeoutMS = x.Route.Name, classOf(x), x.Deadline.Sub(x.Started).Milliseconds()
	}
	if x.Service != nil {
		e.Service = x.Service.Name
	}
	if err == nil {
		var found proxy.Explanation
		found, err = p.sender.Explain(x)
		e.setChoice(found)
	}
	if e.Admitted = err == nil; e.Admitted {
		e.Reason = "the request would be sent"
		return e
	}
	f := fault.From(err)
	e.Status, e.Code, e.Reason = f.Status, f.Code, err.Error()
	return e
}

// request returns the request of a question.
func (q *Question) request() *http.Request {
	path, query, _ := strings.Cut(q.Path, "?")
	header := q.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	return &http.Request{
		Method: q.Method, Host: q.Host, RequestURI: q.Path, URL: &url.URL{Path: path, RawQuery: query}, Header: header, ContentLength: q.Bytes,
	}
}

// explainStages does what the stages before the last one do, without reading or holding anything.
func (p *Process) explainStages(x *proxy.Exchange, q Question) error {
	if p.refusing.Load() {
		return fault.Unavailable(fault.CodeStopping, stoppingRetryAfter, "the process is stopping")
	}
	if x.Config == nil {
		return fault.Unavailable(fault.CodePlatformUnavailable, noConfigRetryAfter, "no configuration is known yet")
	}
	in, err := p.format.Inbound(x.Request)
	if err != nil {
		return fault.Bad("header", "%v", err)
	}
	if q.ID != "" {
		in.ID = q.ID
	}
	if q.Tokens > 0 {
		in.Prompt = []pick.Part{{Tokens: q.Tokens}}
	}
	if q.Output > 0 {
		in.Output = q.Output
	}
	x.Inbound = in
	match := &matchStage{knowledge: p.known, clock: p.clock}
	if err := match.Run(x); err != nil {
		return err
	}
	if err := p.accounts.explain(x, units.TenantName(q.Account)); err != nil {
		return err
	}
	if limit := bodyLimit(x.Config.Bounds.BodyBytes); q.Bytes > limit {
		return p.known.errBodyTooLong(limit)
	}
	if used := p.memory.Used(); used+proxy.RequestBytes+max(q.Bytes-heldBodyBytes, 0) > p.memory.Limit() {
		return fault.Unavailable(fault.CodeOverloaded, noRoomRetryAfter, "no memory is left for the request")
	}
	return nil
}

// bodyLimit returns the largest body for a limit of the configuration.
func bodyLimit(configured int64) int64 {
	if configured <= 0 {
		return defaultBodyBytes
	}
	return configured
}

// setChoice sets the engines and the plan.
func (e *Explanation) setChoice(found proxy.Explanation) {
	e.Version, e.AllLoads = found.Version, found.AllLoads
	if found.Found {
		e.EstimateMS = found.Plan.TimeToFirstEvent.Milliseconds()
		e.Run = found.Plan.Run.ID
		if found.Plan.Prefill != nil {
			e.Prefill = found.Plan.Prefill.ID
		}
	}
	for i := range found.Options {
		e.Candidates = append(e.Candidates, newCandidate(&found.Options[i], e.Prefill, e.Run))
	}
	slices.SortStableFunc(e.Candidates, func(a, b Candidate) int { return useOrder(a.Use) - useOrder(b.Use) })
}

func newCandidate(o *pick.Option, prefill, run units.EngineName) Candidate {
	c := Candidate{
		Engine: o.Engine.ID, Use: useOf(o, prefill, run), Role: string(o.Engine.Role), Place: o.Engine.Place, EstimateMS: -1, RankingMS: -1,
		WaitMS: o.Load.TotalWait().Milliseconds(), Running: o.Load.Running, Slots: o.Engine.Slots, LoadAgeMS: -1,
		Allowance: o.Load.Allowance, CachedTokens: o.Cached, TransferBytes: o.Transfer,
	}
	if o.LoadAge >= 0 {
		c.LoadAgeMS = o.LoadAge.Milliseconds()
	}
	if o.HasPlan {
		c.EstimateMS, c.RankingMS = o.Estimate.Milliseconds(), o.Ranking.Milliseconds()
	}
	if o.Held.Reason != pace.None {
		c.HeldBack = o.Held.Reason.String()
	}
	return c
}

// Uses of candidates.
const (
	useChosen   = "chosen"
	useCompared = "compared"
)

// useOf returns whether the engine is chosen or compared, or else why not.
func useOf(o *pick.Option, prefill, run units.EngineName) string {
	switch {
	case o.Compared && o.Prefill && o.Engine.ID == prefill, o.Compared && !o.Prefill && o.Engine.ID == run:
		return useChosen
	case o.Compared:
		return useCompared
	case o.IsLeaving:
		return "leaving"
	case o.Load.Excluded:
		return "excluded after failures"
	case o.Load.NoPermit:
		return "at its limit or declines"
	default:
		return "not drawn or another role"
	}
}

// useOrder puts the chosen engines first, then the other compared ones.
func useOrder(use string) int {
	switch use {
	case useChosen:
		return 0
	case useCompared:
		return 1
	default:
		return 2
	}
}
