package front

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of the front plane.
type metrics struct {
	turns         *prometheus.CounterVec
	calls         *prometheus.CounterVec
	events        prometheus.Counter
	forwarded     prometheus.Counter
	retries       prometheus.Counter
	attemptFaults *prometheus.CounterVec
	// sharedSuspects counts servers that became suspect here.
	sharedSuspects prometheus.Counter
	firstToken     prometheus.Histogram
	inProgress     prometheus.Gauge
	heartbeats     prometheus.Counter
	shadowDiffers  prometheus.Counter
	loadSamples    *prometheus.CounterVec
	// Counters of training steps.
	stepPins        prometheus.Counter
	stepRejections  *prometheus.CounterVec
	stepGenerations *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: "rosestand", Subsystem: "front", Name: name, Help: help}
	}
	m := &metrics{
		turns: prometheus.NewCounterVec(counter("turns_total",
			"Turns answered to callers, by code of the failure or ok."), []string{"code"}),
		calls: prometheus.NewCounterVec(counter("tool_calls_total",
			"Tool calls answered to callers, by code of the failure or ok."), []string{"code"}),
		events: prometheus.NewCounter(counter("events_total", "Stream events passed on to callers.")),
		forwarded: prometheus.NewCounter(counter("forwarded_total",
			"Requests forwarded to an owner on another front node.")),
		retries: prometheus.NewCounter(counter("retries_total", "Attempts made beyond the first of a request.")),
		attemptFaults: prometheus.NewCounterVec(counter("attempt_faults_total", "Failed attempts at back ends, by fault."),
			[]string{"fault"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "rosestand", Subsystem: "front", Name: "first_token_seconds",
			Help:    "Time from a turn's arrival at its owner to the first token.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
		inProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "rosestand", Subsystem: "front", Name: "in_progress", Help: "Turns and calls under way as owner.",
		}),
		heartbeats: prometheus.NewCounter(counter("heartbeats_total", "Heartbeats of back ends relayed to the core.")),
		shadowDiffers: prometheus.NewCounter(counter("shadow_differs_total",
			"Decisions on which the shadow bundle chose otherwise.")),
	}
	m.loadSamples = prometheus.NewCounterVec(counter("load_samples_total", "Load reports asked of back ends, by result."),
		[]string{"result"})
	m.stepPins = prometheus.NewCounter(counter("training_step_pins_total", "Pins of training steps that the ledger gave."))
	m.stepRejections = prometheus.NewCounterVec(counter("training_step_refusals_total",
		"Generations of training steps that were refused as owner and not run, by code."), []string{"code"})
	m.stepGenerations = prometheus.NewCounterVec(counter("training_step_generations_total",
		"Generations of training steps that ran or may have run as owner: completed, or by code of the failure."),
		[]string{"outcome"})
	m.sharedSuspects = prometheus.NewCounter(counter("shared_suspects_total",
		"Servers avoided for a while by what all front nodes saw together."))
	registerer.MustRegister(m.sharedSuspects)
	registerer.MustRegister(m.stepPins, m.stepRejections, m.stepGenerations)
	registerer.MustRegister(m.turns, m.calls, m.events, m.forwarded, m.retries, m.attemptFaults, m.firstToken,
		m.inProgress, m.heartbeats, m.shadowDiffers, m.loadSamples)
	return m
}
