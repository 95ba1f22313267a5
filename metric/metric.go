// Package metric counts and times what the system does.
package metric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	namespace = "buckthorntrack"
	// otherTenant is the label of tenants beyond the bound.
	otherTenant = "other"
)

var (
	longBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .69, 1, 2.5, 5, 10, 30, 60}
	gapBuckets  = []float64{.002, .005, .01, .015, .02, .025, .03, .036, .05, .1, .25, 1}
)

// Metrics are the process's counters and histograms.
type Metrics struct {
	registry *prometheus.Registry

	verdicts  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	resumes   *prometheus.CounterVec
	forwards  *prometheus.CounterVec
	replays   *prometheus.CounterVec
	orders    *prometheus.CounterVec
	changes   *prometheus.CounterVec
	queue     histograms
	first     histograms
	gap       histograms
	whole     histograms
	tenants   sync.Map
	tenantMax int
	tenantMu  sync.Mutex
	tenantN   int
}

// histograms are one measure by class and by tenant.
type histograms struct {
	class  *prometheus.HistogramVec
	tenant *prometheus.HistogramVec
}

// New returns metrics with at most that many tenants that have labels of their own.
func New(tenantLabels int) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), tenantMax: tenantLabels}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.verdicts = m.counter("answers_total", "Answers by service, verdict and code.", "service", "verdict", "code")
	m.retries = m.counter("retries_total", "Repeated attempts.", "service")
	m.resumes = m.counter("resumes_total", "Streams that went on at another engine.", "service")
	m.forwards = m.counter("forwards_total", "Requests passed on to another availability zone.", "service")
	m.replays = m.counter("replays_total", "Recorded answers that were given again.", "service")
	m.orders = m.counter("orders_total", "Orders to engines by outcome.", "service", "outcome")
	m.changes = m.counter("role_changes_total", "Changes of role that were made.", "service")
	m.queue = m.histogram("queue_seconds", "Time until a request was given an engine.", longBuckets)
	m.first = m.histogram("first_token_seconds", "Time to the first token.", longBuckets)
	m.gap = m.histogram("token_gap_seconds", "Time between tokens.", gapBuckets)
	m.whole = m.histogram("answer_seconds", "Time to the end of the answer.", longBuckets)
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge that is read when metrics are.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Retried counts a repeated attempt.
func (m *Metrics) Retried(x *flow.Exchange) {
	m.retries.WithLabelValues(string(x.Service.Name)).Inc()
}

// Resumed counts a stream that goes on at another engine.
func (m *Metrics) Resumed(x *flow.Exchange) {
	m.resumes.WithLabelValues(string(x.Service.Name)).Inc()
}

// Forwarded counts a request that was passed on.
func (m *Metrics) Forwarded(x *flow.Exchange) {
	m.forwards.WithLabelValues(string(x.Service.Name)).Inc()
}

// Ordered counts an order, and the change of role that it made.
func (m *Metrics) Ordered(service units.ServiceName, err error) {
	if err != nil {
		m.orders.WithLabelValues(string(service), "failed").Inc()
		return
	}
	m.orders.WithLabelValues(string(service), "done").Inc()
	m.changes.WithLabelValues(string(service)).Inc()
}

// FirstToken times a first token.
func (m *Metrics) FirstToken(x *flow.Exchange, after time.Duration) {
	m.observe(m.first, x, after)
}

// Gaps returns a function that times the gaps between the tokens of one request. It looks its histograms up once.
func (m *Metrics) Gaps(x *flow.Exchange) func(gap time.Duration) {
	class := m.gap.class.WithLabelValues(string(x.Class.Name))
	tenant := m.gap.tenant.WithLabelValues(m.tenantLabel(x.Tenant))
	return func(gap time.Duration) {
		class.Observe(gap.Seconds())
		tenant.Observe(gap.Seconds())
	}
}

// Ended counts and times a request that has ended with the error, if any.
func (m *Metrics) Ended(x *flow.Exchange, err error, now time.Time) {
	verdict, code := fault.Ran, fault.Code("")
	if err != nil {
		e := fault.From(err)
		verdict, code = e.Verdict, e.Code
	}
	service := units.ServiceName("")
	if x.Service != nil {
		service = x.Service.Name
	}
	m.verdicts.WithLabelValues(string(service), verdict.String(), string(code)).Inc()
	if x.Class == nil {
		return
	}
	if x.Replayed {
		m.replays.WithLabelValues(string(service)).Inc()
	}
	if !x.Times.Admitted.IsZero() {
		m.observe(m.queue, x, x.Times.Admitted.Sub(x.Times.Started))
	}
	if err == nil {
		m.observe(m.whole, x, now.Sub(x.Times.Started))
	}
}

func (m *Metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

func (m *Metrics) histogram(name, help string, buckets []float64) histograms {
	h := histograms{
		class: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "class_" + name, Help: help, Buckets: buckets,
		}, []string{"class"}),
		tenant: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "tenant_" + name, Help: help, Buckets: buckets,
		}, []string{"tenant"}),
	}
	m.registry.MustRegister(h.class, h.tenant)
	return h
}

func (m *Metrics) observe(h histograms, x *flow.Exchange, d time.Duration) {
	h.class.WithLabelValues(string(x.Class.Name)).Observe(d.Seconds())
	h.tenant.WithLabelValues(m.tenantLabel(x.Tenant)).Observe(d.Seconds())
}

// tenantLabel returns the tenant's name, or otherTenant beyond the bound.
func (m *Metrics) tenantLabel(t *config.Tenant) string {
	if _, known := m.tenants.Load(t.Name); known {
		return string(t.Name)
	}
	m.tenantMu.Lock()
	defer m.tenantMu.Unlock()
	if m.tenantN >= m.tenantMax {
		return otherTenant
	}
	if _, known := m.tenants.LoadOrStore(t.Name, true); !known {
		m.tenantN++
	}
	return string(t.Name)
}
