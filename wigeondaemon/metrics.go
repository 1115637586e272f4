package wigeondaemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonstep/wigeonstep"
)

// Metrics counts what a daemon does.
type Metrics struct {
	set           *metrics.Set
	starts        *metrics.Counter
	appendRetries *metrics.Counter
	peerFailures  *metrics.Counter
}

// NewMetrics returns the metrics of a daemon in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		set:           set,
		starts:        set.NewCounter("wigeonstep_task_starts_total"),
		appendRetries: set.NewCounter("wigeonstep_log_append_retries_total"),
		peerFailures:  set.NewCounter("wigeonstep_peer_failures_total"),
	}
}

// submitted counts a job that was handed in and the time that its answer took.
func (m *Metrics) submitted(queue wigeonstep.QueueName, response wigeonstep.Response, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`wigeonstep_jobs_submitted_total{queue=%q,outcome=%q}`, queue, response.Outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`wigeonstep_submit_duration_seconds{queue=%q}`, queue)).Update(took.Seconds())
}
