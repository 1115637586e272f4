package wigeoncontrol

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

type daemonMetrics struct {
	set                          *metrics.Set
	roundSeconds                 *metrics.Histogram
	listAge                      *metrics.Gauge
	listErrors                   *metrics.Counter
	accepted, refused, noVerdict *metrics.Counter
	vmsLost                      *metrics.Counter
}

func newDaemonMetrics(set *metrics.Set) *daemonMetrics {
	verdict := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf(`wigeonstep_control_proposals_total{verdict=%q}`, name))
	}
	return &daemonMetrics{
		set:          set,
		roundSeconds: set.GetOrCreateHistogram("wigeonstep_control_round_seconds"),
		listAge:      set.GetOrCreateGauge("wigeonstep_control_vm_list_age_seconds", nil),
		listErrors:   set.GetOrCreateCounter("wigeonstep_control_vm_list_errors_total"),
		accepted:     verdict("accepted"),
		refused:      verdict("refused"),
		noVerdict:    verdict("none"),
		vmsLost:      set.GetOrCreateCounter("wigeonstep_control_vms_lost_total"),
	}
}

func (m *daemonMetrics) countAction(kind wigeonpool.ActionKind, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`wigeonstep_control_actions_total{kind=%q,result=%q}`, string(kind), result)).Inc()
}
