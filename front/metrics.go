package front

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/buckthorntrack/buckthorntrack/fault"
	"github.com/buckthorntrack/buckthorntrack/proxy"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const namespace = "buckthorntrack"

var timeBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1, 2, 5, 10, 30}

// Metrics holds the Prometheus metrics of an entry process.
type Metrics struct {
	registry     *prometheus.Registry
	answers      *prometheus.CounterVec
	sends        *prometheus.CounterVec
	retries      *prometheus.CounterVec
	retryDenied  *prometheus.CounterVec
	brokenRuns   *prometheus.CounterVec
	doubted      *prometheus.CounterVec
	limitedRuns  *prometheus.CounterVec
	refusedKeys  *prometheus.CounterVec
	feedFailures *prometheus.CounterVec
	dutyCalls    *prometheus.CounterVec
	orders       *prometheus.CounterVec
	closedConns  *prometheus.CounterVec
	wanted       *prometheus.GaugeVec
	needed       *prometheus.GaugeVec
	lastFeedRead *prometheus.GaugeVec
	firstEvent   *prometheus.HistogramVec
	total        *prometheus.HistogramVec
	gap          *prometheus.HistogramVec
}

// NewMetrics returns metrics in a new registry.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector())
	m.answers = m.counter("routed_answers_total", "Ended requests by class, verdict and code.", "class", "verdict", "code")
	m.sends = m.counter("routed_sends_total", "Calls to engines by service and phase.", "service", "phase")
	m.retries = m.counter("routed_repeats_total", "Repeated calls to engines by service and reason.", "service", "reason")
	m.retryDenied = m.counter("routed_repeats_denied_total", "Repeats for which the allowance had no room.", "service")
	m.brokenRuns = m.counter("routed_broken_runs_total", "Runs that broke off before their answer was complete.", "service")
	m.doubted = m.counter("routed_doubted_answers_total", "Answers that may belong to another request, by service and reason.", "service", "reason")
	m.limitedRuns = m.counter("routed_limits_named_total", "Answers in which an engine names a limit.", "service")
	m.refusedKeys = m.counter("routed_refused_keys_total", "Requests that were refused by their key, by reason.", "reason")
	m.feedFailures = m.counter("feed_failures_total", "Failed reads of the platform.", "feed")
	m.dutyCalls = m.counter("duty_calls_total", "Calls to the duty API by task and outcome.", "task", "outcome")
	m.orders = m.counter("engine_orders_total", "Orders of engines by service, kind and outcome.", "service", "kind", "outcome")
	m.closedConns = m.counter("connections_closed_total", "Connections of clients that the process closed, by listener and reason.", "listener", "reason")
	m.wanted = m.zoneGauge("engines_wanted", "Engines that a zone wants, at the holder of the duties.")
	m.needed = m.zoneGauge("engines_needed", "Engines that the demand of the last minute needs in a zone, at the holder of the duties.")
	m.lastFeedRead = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "feed_read_seconds", Help: "Unix time of the last good read of the platform.",
	}, []string{"feed"})
	m.registry.MustRegister(m.lastFeedRead)
	m.firstEvent = m.histogram("routed_first_seconds", "Time until the answer began.")
	m.gap = m.histogram("routed_gap_seconds", "Longest pause between two events of a stream.")
	m.total = m.histogram("routed_answer_seconds", "Time to the end of the answer.")
	return m
}

// Handler returns a handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help,
	}, read))
}

// LabeledGauge registers a gauge for one value of a label. Its value is read at each scrape.
func (m *Metrics) LabeledGauge(name, help, label, value string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value},
	}, read))
}

// Sent implements proxy.Observer.
func (m *Metrics) Sent(service units.ServiceName, phase string) {
	m.sends.WithLabelValues(string(service), phase).Inc()
}

// Retried implements proxy.Observer.
func (m *Metrics) Retried(service units.ServiceName, reason string) {
	m.retries.WithLabelValues(string(service), reason).Inc()
}

// RetryDenied implements proxy.Observer.
func (m *Metrics) RetryDenied(service units.ServiceName) {
	m.retryDenied.WithLabelValues(string(service)).Inc()
}

// RunBrokeOff implements proxy.Observer.
func (m *Metrics) RunBrokeOff(service units.ServiceName) {
	m.brokenRuns.WithLabelValues(string(service)).Inc()
}

// LimitNamed implements proxy.Observer.
func (m *Metrics) LimitNamed(service units.ServiceName) {
	m.limitedRuns.WithLabelValues(string(service)).Inc()
}

// AnswerDoubted implements proxy.Observer.
func (m *Metrics) AnswerDoubted(service units.ServiceName, reason string) {
	m.doubted.WithLabelValues(string(service), reason).Inc()
}

// keyRefused counts a request that was refused by its key.
func (m *Metrics) keyRefused(reason string) {
	m.refusedKeys.WithLabelValues(reason).Inc()
}

// FeedFailed implements mirror.Observer.
func (m *Metrics) FeedFailed(feed string) {
	m.feedFailures.WithLabelValues(feed).Inc()
}

// FeedSucceeded implements mirror.Observer.
func (m *Metrics) FeedSucceeded(feed string) {
	m.lastFeedRead.WithLabelValues(feed).SetToCurrentTime()
}

// DutyCalled implements duty.Observer.
func (m *Metrics) DutyCalled(task, outcome string, _ time.Duration) {
	m.dutyCalls.WithLabelValues(task, outcome).Inc()
}

func (m *Metrics) recordOutcome(class string, v fault.Verdict, code fault.Code, x *proxy.Exchange, now time.Time) {
	m.answers.WithLabelValues(class, v.String(), string(code)).Inc()
	if !x.First.IsZero() {
		m.firstEvent.WithLabelValues(class).Observe(x.First.Sub(x.Started).Seconds())
		if x.Gap > 0 {
			m.gap.WithLabelValues(class).Observe(x.Gap.Seconds())
		}
		m.total.WithLabelValues(class).Observe(now.Sub(x.Started).Seconds())
	}
}

func (m *Metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

// zoneGauge returns a gauge by service and availability zone.
func (m *Metrics) zoneGauge(name, help string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{"service", "zone"})
	m.registry.MustRegister(g)
	return g
}

func (m *Metrics) histogram(name, help string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: timeBuckets,
	}, []string{"class"})
	m.registry.MustRegister(h)
	return h
}
