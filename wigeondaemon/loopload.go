package wigeondaemon

import (
	"fmt"
	"runtime"
	"runtime/metrics"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// loopPart is a part of the work of the event loop.
type loopPart int

const (
	// partEvents is the work of the queued events: answers of workers, batches of the logs, requests of clients and peers.
	partEvents loopPart = iota
	// partOwners is the work of the owners' steps, and of handing out their orders.
	partOwners
	// partReports is the work of the reports to the owner of the fleet partition.
	partReports
	// partFleet is the planning of waves and moves.
	partFleet
	// partOther is the rest of a step.
	partOther
	loopPartCount
)

var loopPartNames = [loopPartCount]string{"events", "owners", "reports", "fleet", "other"}

const (
	// loadInterval is the period of each report of the load of the event loop.
	loadInterval = time.Second
	// minLoggedLoad is the share of the time above which the load is logged.
	minLoggedLoad = 0.2
)

// loopLoad measures which part of its work takes the event loop's time, so that an owner that falls behind shows in its log and
// metrics, with the cause. Time in which other goroutines or processes run in between counts too.
type loopLoad struct {
	since   time.Duration
	busy    [loopPartCount]time.Duration
	longest time.Duration
	// gcSeconds is the processor time of the garbage collector since the start of the process, as of since.
	gcSeconds float64
	// processSeconds is the processor time of the whole process, as of since.
	processSeconds float64
}

// measure runs work and adds its time to the part.
func (d *Daemon) measure(part loopPart, work func()) {
	began := d.config.Now().Steady
	work()
	took := d.config.Now().Steady - began
	d.load.busy[part] += took
	d.load.longest = max(d.load.longest, took)
}

// reportLoad counts the time of each part, and logs a high load, once every loadInterval.
func (d *Daemon) reportLoad(now time.Duration) {
	l := &d.load
	elapsed := now - l.since
	if elapsed < loadInterval {
		return
	}
	var total time.Duration
	fields := []zap.Field{zap.Duration("interval", elapsed), zap.Int("queued", len(d.events)), zap.Int("goroutines", runtime.NumGoroutine()), zap.Duration("longest", l.longest)}
	for part, busy := range l.busy {
		total += busy
		d.config.Metrics.loopSeconds[part].Add(busy.Seconds())
		fields = append(fields, zap.String(loopPartNames[part], fmt.Sprintf("%.2f", busy.Seconds()/elapsed.Seconds())))
	}
	gcSeconds := collectorSeconds()
	fields = append(fields, zap.String("gc", fmt.Sprintf("%.2f", (gcSeconds-l.gcSeconds)/elapsed.Seconds())))
	processSeconds := processorSeconds()
	fields = append(fields, zap.String("process", fmt.Sprintf("%.2f", (processSeconds-l.processSeconds)/elapsed.Seconds())))
	for kind, n := range d.work.take() {
		d.config.Metrics.work[kind].Add(n)
		fields = append(fields, zap.Int(workKindNames[kind], n))
	}
	if l.since != 0 && total.Seconds() > minLoggedLoad*elapsed.Seconds() {
		d.config.Logger.Info("loop_load", fields...)
	}
	*l = loopLoad{since: now, gcSeconds: gcSeconds, processSeconds: processSeconds}
	d.reportShardLoads()
}

// collectorSeconds returns the processor time that the garbage collector has taken, as of its last cycle.
func collectorSeconds() float64 {
	sample := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return sample[0].Value.Float64()
}

// processorSeconds returns the processor time that this process has taken, the calls to workers and the loop together; 0 if the
// system doesn't tell.
func processorSeconds() float64 {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
