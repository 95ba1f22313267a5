// Package metric defines the Prometheus metrics of an entry process.
package metric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/conns"
	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/flow"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const (
	namespace = "buckthorntrack"
	// otherTenant is the label value that tenants beyond the limit share, to bound the number of time series.
	otherTenant = "other"
)

var (
	longBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .69, 1, 2.5, 5, 10, 30, 60}
	gapBuckets  = []float64{.002, .005, .01, .015, .02, .025, .03, .036, .05, .1, .25, 1}
)

// Metrics holds the counters and histograms of a process.
type Metrics struct {
	registry *prometheus.Registry

	verdicts        *prometheus.CounterVec
	retries         *prometheus.CounterVec
	resumes         *prometheus.CounterVec
	forwards        *prometheus.CounterVec
	replays         *prometheus.CounterVec
	orders          *prometheus.CounterVec
	roleChanges     *prometheus.CounterVec
	closedConns     *prometheus.CounterVec
	queue           histograms
	firstToken      histograms
	tokenGap        histograms
	answer          histograms
	labeledTenants  sync.Map // names of the tenants with labels of their own
	maxTenantLabels int
	tenantMu        sync.Mutex
	tenantCount     int // number of labeledTenants, under tenantMu
}

// histograms holds the histograms of one duration, by class and by tenant.
type histograms struct {
	class  *prometheus.HistogramVec
	tenant *prometheus.HistogramVec
}

// New returns metrics in which at most tenantLabels tenants have labels of their own.
func New(tenantLabels int) *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), maxTenantLabels: tenantLabels}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.verdicts = m.counter("answers_total", "Answers by service, verdict and code.", "service", "verdict", "code")
	m.retries = m.counter("retries_total", "Repeated attempts.", "service")
	m.resumes = m.counter("resumes_total", "Streams that were resumed at another engine.", "service")
	m.forwards = m.counter("forwards_total", "Requests passed on to another availability zone.", "service")
	m.replays = m.counter("replays_total", "Recorded answers that were given again.", "service")
	m.orders = m.counter("orders_total", "Orders to engines by outcome.", "service", "outcome")
	m.roleChanges = m.counter("role_changes_total", "Changes of role that were made.", "service")
	m.closedConns = m.counter("connections_closed_total", "Connections of clients that the process closed, by listener and reason.", "listener", "reason")
	m.queue = m.histogram("queue_seconds", "Time until a request was admitted to an engine.", longBuckets)
	m.firstToken = m.histogram("first_token_seconds", "Time to the first token.", longBuckets)
	m.tokenGap = m.histogram("token_gap_seconds", "Time between tokens.", gapBuckets)
	m.answer = m.histogram("answer_seconds", "Time to the end of the answer.", longBuckets)
	return m
}

// Handler returns a handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// ConnectionClosed counts a connection of a client that the process closed.
func (m *Metrics) ConnectionClosed(listener string, reason conns.Reason) {
	m.closedConns.WithLabelValues(listener, string(reason)).Inc()
}

// Retried counts a repeated attempt.
func (m *Metrics) Retried(x *flow.Exchange) {
	m.retries.WithLabelValues(string(x.Service.Name)).Inc()
}

// Resumed counts a stream that is resumed at another engine.
func (m *Metrics) Resumed(x *flow.Exchange) {
	m.resumes.WithLabelValues(string(x.Service.Name)).Inc()
}

// Forwarded counts a request that was forwarded to another availability zone.
func (m *Metrics) Forwarded(x *flow.Exchange) {
	m.forwards.WithLabelValues(string(x.Service.Name)).Inc()
}

// Ordered counts an order to an engine by its outcome, and the role change of a successful one.
func (m *Metrics) Ordered(service units.ServiceName, err error) {
	if err != nil {
		m.orders.WithLabelValues(string(service), "failed").Inc()
		return
	}
	m.orders.WithLabelValues(string(service), "done").Inc()
	m.roleChanges.WithLabelValues(string(service)).Inc()
}

// FirstToken records the time to the first token.
func (m *Metrics) FirstToken(x *flow.Exchange, elapsed time.Duration) {
	m.observe(m.firstToken, x, elapsed)
}

// Gaps returns a function that records the gaps between the tokens of one request. The histograms are looked up once.
func (m *Metrics) Gaps(x *flow.Exchange) func(gap time.Duration) {
	class := m.tokenGap.class.WithLabelValues(string(x.Class.Name))
	tenant := m.tokenGap.tenant.WithLabelValues(m.tenantLabel(x.Tenant))
	return func(gap time.Duration) {
		class.Observe(gap.Seconds())
		tenant.Observe(gap.Seconds())
	}
}

// ObserveRequest records the outcome and the duration of a request that has ended with err, or nil.
func (m *Metrics) ObserveRequest(x *flow.Exchange, err error, now time.Time) {
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
		m.observe(m.answer, x, now.Sub(x.Times.Started))
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

// tenantLabel returns the tenant's name, or otherTenant if maxTenantLabels other tenants have labels of their own.
func (m *Metrics) tenantLabel(t *config.Tenant) string {
	if _, known := m.labeledTenants.Load(t.Name); known {
		return string(t.Name)
	}
	m.tenantMu.Lock()
	defer m.tenantMu.Unlock()
	if m.tenantCount >= m.maxTenantLabels {
		return otherTenant
	}
	if _, known := m.labeledTenants.LoadOrStore(t.Name, true); !known {
		m.tenantCount++
	}
	return string(t.Name)
}
