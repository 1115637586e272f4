package wigeoningress

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// logInterval is the least time between two log lines of one reason.
const logInterval = time.Second

// counter counts the refusals of one reason.
type counter struct {
	// metric is nil without a set of metrics.
	metric *metrics.Counter
	// unlogged counts the refusals since the last log line, which was written at lastLogged in nanoseconds since 1970.
	unlogged, lastLogged atomic.Int64
}

// register registers the counters and gauges.
func (g *Gate) register() {
	set := g.settings.Metrics
	if set == nil {
		return
	}
	for r := None + 1; r < Disconnected; r++ {
		g.counters[r].metric = set.NewCounter(fmt.Sprintf(`wigeonstep_ingress_refused_total{reason=%q}`, r))
	}
	for kind, value := range map[string]func() int64{
		"used": g.used.Load, "peak": g.peak.Load, "limit": func() int64 { return g.total },
	} {
		set.NewGauge(fmt.Sprintf(`wigeonstep_ingress_budget_bytes{kind=%q}`, kind), func() float64 { return float64(value()) })
	}
	set.NewGauge("wigeonstep_ingress_connections", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.conns))
	})
}

// count counts a refusal and logs it unless a line for the reason was written within logInterval.
func (g *Gate) count(r Reason, c *Conn) {
	counter := &g.counters[r]
	if counter.metric != nil {
		counter.metric.Inc()
	}
	counter.unlogged.Add(1)
	if g.settings.Logger == nil {
		return
	}
	now, last := time.Now().UnixNano(), counter.lastLogged.Load()
	if now-last < int64(logInterval) || !counter.lastLogged.CompareAndSwap(last, now) {
		return
	}
	g.settings.Logger.Warn("ingress_refused", zap.Stringer("reason", r), zap.Stringer("address", c.RemoteAddr()),
		zap.Int64("count", counter.unlogged.Swap(0)), zap.Int64("budget_used", g.used.Load()))
}
