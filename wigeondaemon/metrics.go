package wigeondaemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// Metrics holds the counters and histograms of a daemon.
type Metrics struct {
	set           *metrics.Set
	starts        *metrics.Counter
	appendRetries *metrics.Counter
	peerFailures  *metrics.Counter
	// registryRetries counts the registrations of jobs that failed and are repeated.
	registryRetries *metrics.Counter
	// rejectedRecords counts the records of jobs that the log rejected.
	rejectedRecords *metrics.Counter
	panics          *metrics.Counter
	// unauthorized counts the calls that were refused for their credentials, by reason.
	unauthorized map[string]*metrics.Counter
	// outdatedRefusals counts the calls that were refused because the configuration in force may be outdated.
	outdatedRefusals *metrics.Counter
	// relayedOrders counts the orders to workers that went through a relay, directOrders the others.
	relayedOrders, directOrders *metrics.Counter
	// observedPairs and suspectedPairs are the numbers of pairs of images of which one may slow the other down.
	observedPairs, suspectedPairs *metrics.Gauge
	// loopSeconds counts the time that each part of the event loop's work took.
	loopSeconds [loopPartCount]*metrics.FloatCounter
	// work counts what the process handles besides, by kind.
	work [workKindCount]*metrics.Counter
	// stageSeconds and stageCounts sum up the stages of the jobs of the owned shards.
	stageSeconds [wigeonshard.StageCount]*metrics.FloatCounter
	stageCounts  [wigeonshard.StageCount]*metrics.Counter
}

// NewMetrics returns metrics that are registered in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		set:             set,
		starts:          set.NewCounter("wigeonstep_task_starts_total"),
		appendRetries:   set.NewCounter("wigeonstep_log_append_retries_total"),
		registryRetries: set.NewCounter("wigeonstep_registry_retries_total"),
		peerFailures:    set.NewCounter("wigeonstep_peer_failures_total"),
		rejectedRecords: set.NewCounter("wigeonstep_records_rejected_total"),
		panics:          set.NewCounter("wigeonstep_panics_total"),
		relayedOrders:   set.NewCounter(`wigeonstep_worker_orders_total{path="relay"}`),
		directOrders:    set.NewCounter(`wigeonstep_worker_orders_total{path="direct"}`),

		unauthorized:     map[string]*metrics.Counter{},
		outdatedRefusals: set.NewCounter("wigeonstep_calls_refused_outdated_total"),
		observedPairs:    set.NewGauge(`wigeonstep_interference_pairs{state="observed"}`, nil),
		suspectedPairs:   set.NewGauge(`wigeonstep_interference_pairs{state="suspected"}`, nil),
	}
	for _, reason := range unauthorizedReasons {
		m.unauthorized[reason] = set.NewCounter(fmt.Sprintf(`wigeonstep_unauthorized_total{reason=%q}`, reason))
	}
	for kind, name := range workKindNames {
		m.work[kind] = set.NewCounter(fmt.Sprintf(`wigeonstep_work_total{kind=%q}`, name))
	}
	for stage := range wigeonshard.StageCount {
		m.stageSeconds[stage] = set.NewFloatCounter(fmt.Sprintf(`wigeonstep_stage_seconds_total{stage=%q}`, stage))
		m.stageCounts[stage] = set.NewCounter(fmt.Sprintf(`wigeonstep_stage_total{stage=%q}`, stage))
	}
	for part, name := range loopPartNames {
		m.loopSeconds[part] = set.NewFloatCounter(fmt.Sprintf(`wigeonstep_loop_seconds_total{part=%q}`, name))
	}
	return m
}

// setGauges sets gauges by their names with labels, and removes those of the names before that have no value any more. It returns
// the names of those that are set.
func (m *Metrics) setGauges(before map[string]bool, values map[string]float64) map[string]bool {
	for name := range before {
		if _, set := values[name]; !set {
			m.set.UnregisterMetric(name)
		}
	}
	names := make(map[string]bool, len(values))
	for name, value := range values {
		m.set.GetOrCreateGauge(name, nil).Set(value)
		names[name] = true
	}
	return names
}

// countDecision counts a decision of an owner by its event, such as worker_lost.
func (m *Metrics) countDecision(event string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`wigeonstep_owner_decisions_total{event=%q}`, event)).Inc()
}

// observeSubmit counts a submitted job by queue and outcome and records the latency of its response.
func (m *Metrics) observeSubmit(queue wigeonstep.QueueName, response wigeonstep.Response, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`wigeonstep_jobs_submitted_total{queue=%q,outcome=%q}`, queue, response.Outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`wigeonstep_submit_duration_seconds{queue=%q}`, queue)).Update(took.Seconds())
}
