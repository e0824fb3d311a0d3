package ggsedge

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	ggscore "greengageslip/core"
)

// Buckets of the latency histograms, in seconds. Latency targets are 0.12 to 1 s, and deadlines
// are 1.2 to 12 s.
const (
	latencyMin     = 0.005
	latencyFactor  = 1.8
	latencyBuckets = 14
)

// A metrics has the latency histograms of an edge. The counters are those of Stats.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	loads    prometheus.Histogram
	rejected *prometheus.CounterVec
	// storeCalls counts the calls of the store by name.
	storeCalls *prometheus.CounterVec
	// resumed counts the requests that resume a stream, by the source of its origin.
	resumed *prometheus.CounterVec
	// permits counts the asks for permits, by outcome.
	permits *prometheus.CounterVec
}

// Causes for which datagrams of peers are rejected.
const rejectedAddress = "address"

func newMetrics(e *Edge) *metrics {
	h := func(name, help string) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{
			Namespace: "ggs", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(latencyMin, latencyFactor, latencyBuckets),
		}
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers:  prometheus.NewHistogramVec(h("answer_seconds", "Time from a request's arrival to the end of its endpoint's answer."), []string{"kind"}),
		first:    prometheus.NewHistogramVec(h("first_piece_seconds", "Time from a request's arrival to the first piece of its endpoint's answer."), []string{"kind"}),
		loads:    prometheus.NewHistogram(h("load_wait_seconds", "Time that requests waited for an adapter.")),
	}
	m.rejected = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ggs", Name: "datagrams_rejected_total", Help: "Datagrams of peers that changed nothing, by cause.",
	}, []string{"cause"})
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ggs", Name: "store_calls_total", Help: "Calls of the store, by name.",
	}, []string{"call"})
	m.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ggs", Name: "resumed_streams_total", Help: "Requests that resume a stream, by the source of its origin.",
	}, []string{"origin"})
	m.permits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ggs", Name: "permit_asks_total", Help: "Asks for permits for shed-limited endpoints, by outcome.",
	}, []string{"outcome"})
	m.registry.MustRegister(m.permits, m.answers, m.first, m.loads, m.rejected, m.storeCalls, m.resumed, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registerCounters(e)
	m.registerGauges(e)
	return m
}

// registerCounters registers the counters of Stats.
func (m *metrics) registerCounters(e *Edge) {
	s := &e.stats
	for _, c := range []struct {
		name, help string
		value      *atomic.Int64
	}{
		{"requests_total", "Requests that arrived.", &s.Requests},
		{"answered_total", "Requests that got an endpoint's answer.", &s.Answered},
		{"refused_total", "Requests that were refused and have not run.", &s.Refused},
		{"failed_total", "Requests that may have run and got no answer.", &s.Failed},
		{"callers_left_total", "Requests whose callers left.", &s.CallersLeft},
		{"retries_total", "Sends beyond a request's first.", &s.Retries},
		{"orders_total", "Orders to endpoints.", &s.Orders},
	} {
		v := c.value
		m.registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "ggs", Name: c.name, Help: c.help}, func() float64 { return float64(v.Load()) }))
	}
}

// A gauge is a metric of the edge's state.
type gauge struct {
	name, help string
	value      func() float64
}

// locked returns a function that calls another with Edge.mu held.
func (e *Edge) locked(f func() float64) func() float64 {
	return func() float64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return f()
	}
}

// quarantineGauges returns the gauges of requests that crash endpoints.
func (e *Edge) quarantineGauges() []gauge {
	return []gauge{
		{"quarantined_parts", "Parts of prompts that are kept from endpoints because they crash them.", func() float64 { return float64(e.crashes.Count(false)) }},
		{"quarantined_requests", "Requests that are kept from endpoints because they crash them.", func() float64 { return float64(e.crashes.Count(true)) }},
		{"quarantine_entries", "Entries in memory of requests that may crash endpoints.", func() float64 { return float64(e.crashes.Len()) }},
	}
}

// registerGauges registers gauges of the edge's state.
func (m *metrics) registerGauges(e *Edge) {
	locked := e.locked
	for _, g := range append(e.quarantineGauges(), []gauge{
		{"active_requests", "Requests under way.", func() float64 { return float64(e.stats.InFlight.Load()) }},
		{"config_version", "Version of the configuration in force, 0 for none.", func() float64 { return float64(e.configVersion()) }},
		{"list_age_seconds", "Time since this VM or a peer read the list of endpoints.", locked(func() float64 {
			return e.Now().Sub(e.listObserved).Seconds()
		})},
		{"operators_lag_seconds", "Time since a peer announced operators' entries that this VM has not read yet.", locked(func() float64 {
			return e.operatorsLag().Seconds()
		})},
		{"store_epoch", "Epoch of the store, which rises each time it comes back from an older copy.", func() float64 {
			return float64(e.epochs.current())
		}},
		{"store_resync_seconds", "Time until the store was read in its epoch, or so far.", locked(func() float64 {
			return e.resyncTime().Seconds()
		})},
		{"relay", "1 while this VM passes on the heartbeats of its failure domain.", locked(func() float64 {
			if e.node.UsesRelays() && e.node.IsRelay(e.Now()) {
				return 1
			}
			return 0
		})},
		{"summary_age_seconds", "Time since a relay's summary was adopted, 0 where none was.", locked(func() float64 {
			if e.lastSummary.IsZero() {
				return 0
			}
			return e.Now().Sub(e.lastSummary).Seconds()
		})},
		{"endpoints", "Endpoints on the list.", locked(func() float64 { return float64(len(e.table.Instances(""))) })},
		{"blocked_endpoints", "Endpoints that this VM reaches only through peers.", locked(func() float64 {
			return float64(e.blockedCount())
		})},
		{"limited_endpoints", "Endpoints whose answers name a rate limit.", locked(func() float64 { return float64(e.limits.LimitedCount()) })},
		{"shed_limited_services", "Services whose endpoints fail when they shed many requests.", locked(func() float64 {
			return float64(e.limits.ShedLimitedCount(e.Now()))
		})},
		{"permit_endpoints", "Shed-limited endpoints for which this VM issues permits.", locked(func() float64 {
			return float64(len(e.issuer.State(e.Now())))
		})},
		{"ordered_endpoints", "Endpoints that get their orders from this VM.", locked(func() float64 { return float64(len(e.workers)) })},
		{"unreadable_entries", "Entries of the store, or parts of them, that can't be read.", locked(func() float64 { return float64(e.defects.Len()) })},
		{"peers", "Other VMs that are known.", locked(func() float64 { return float64(len(e.peers)) })},
	}...) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Namespace: "ggs", Name: g.name, Help: g.help}, g.value))
	}
}

// Metrics returns a handler that serves the metrics in the Prometheus text format.
func (e *Edge) Metrics() http.Handler {
	return promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{})
}

// reject counts a rejected datagram.
func (m *metrics) reject(cause string) { m.rejected.WithLabelValues(cause).Inc() }

// observeAnswer records an endpoint's answer that was forwarded completely.
func (m *metrics) observeAnswer(k ggscore.RouteKind, took time.Duration) {
	m.answers.WithLabelValues(k.String()).Observe(took.Seconds())
}

// observeFirstChunk records the first chunk of an answer.
func (m *metrics) observeFirstChunk(k ggscore.RouteKind, took time.Duration) {
	m.first.WithLabelValues(k.String()).Observe(took.Seconds())
}
