package wigeondaemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonstep/wigeonstep"
)

// Metrics holds the counters and histograms of a daemon.
type Metrics struct {
	set           *metrics.Set
	starts        *metrics.Counter
	appendRetries *metrics.Counter
	peerFailures  *metrics.Counter
	panics        *metrics.Counter
}

// NewMetrics returns metrics that are registered in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:           set,
		starts:        set.NewCounter("wigeonstep_task_starts_total"),
		appendRetries: set.NewCounter("wigeonstep_log_append_retries_total"),
		peerFailures:  set.NewCounter("wigeonstep_peer_failures_total"),
		panics:        set.NewCounter("wigeonstep_panics_total"),
	}
}

// observeSubmit counts a submitted job by queue and outcome and records the latency of its response.
func (m *Metrics) observeSubmit(queue wigeonstep.QueueName, response wigeonstep.Response, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`wigeonstep_jobs_submitted_total{queue=%q,outcome=%q}`, queue, response.Outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`wigeonstep_submit_duration_seconds{queue=%q}`, queue)).Update(took.Seconds())
}
