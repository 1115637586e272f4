package wigeonreplay

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// expiryInterval is the interval at which queued requests are checked for expiry, reportInterval the interval of the
	// demand reports between entry processes (design page, section 10) and of the refresh of all views.
	expiryInterval = 100 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	// messageLatency is the one-way delay of a message, within a data centre and between two.
	messageLatency = 500 * time.Microsecond
	// warmUp is the time between the opening of the sessions and the start of the trace, in which the entry processes apply
	// the initial documents.
	warmUp = 10 * time.Second
)

// replayStart is the simulated wall-clock time at which every replay starts.
var replayStart = time.Unix(1_800_000_000, 0).UTC()

// driver is the discrete-event simulation of one trace. All scheduled functions run in one goroutine in the order of the
// event queue.
type driver struct {
	trace  *Trace
	policy Policy
	// now is the time since replayStart.
	now     time.Duration
	queue   eventQueue
	lastSeq int
	random  *rand.Rand

	state wigeonstate.State
	// offset is the offset of the next log record.
	offset  wigeonstep.Offset
	logDown bool
	// isolated holds the data centres that a cut event separates from the log, the platform and the other data centres.
	isolated map[wigeonstep.DataCentreName]bool
	machines map[wigeonstep.VMID]*machine
	vmIDs    []wigeonstep.VMID
	// vmLists holds the VM lists of the last seconds, oldest first, as far back as the control daemons read them.
	vmLists    []*wigeonstep.VMList
	poolNames  []wigeonstep.PoolName
	processes  []*process
	entryCores []*entryCore
	daemons    []*daemon
	operator   *process
	jobs       map[wigeonstep.JobID]*job
	jobIDs     []wigeonstep.JobID
	// lastJobNumber and lastKeyNumber are the numbers in the job id and the idempotency key generated last.
	lastJobNumber int
	lastKeyNumber int
	// keyRuns counts the runs of each idempotency key on the workers.
	keyRuns map[wigeonstep.IdempotencyKey]int
	// jobsByKey holds the last accepted job of each idempotency key.
	jobsByKey map[wigeonstep.IdempotencyKey]wigeonstep.JobID
	waves     []*waveProgress
	// pendingChanges holds the accepted changes that some entry process has not applied yet.
	pendingChanges []*documentChange
	counters       counters
	stats          map[routeKey]*classStats
	statsKeys      []routeKey
	held           map[wigeonstep.PoolName]int
}

func newDriver(trace *Trace, seed uint64, policy Policy) *driver {
	d := &driver{
		trace: trace, policy: policy, random: rand.New(rand.NewPCG(seed, 3)),
		isolated: map[wigeonstep.DataCentreName]bool{}, machines: map[wigeonstep.VMID]*machine{},
		jobs: map[wigeonstep.JobID]*job{}, keyRuns: map[wigeonstep.IdempotencyKey]int{}, jobsByKey: map[wigeonstep.IdempotencyKey]wigeonstep.JobID{},
		stats: map[routeKey]*classStats{}, held: map[wigeonstep.PoolName]int{},
	}
	d.addMachines()
	d.addProcesses(seed)
	return d
}

// time returns the simulated wall-clock time, which all processes share.
func (d *driver) time() time.Time { return replayStart.Add(d.now) }

func (d *driver) schedule(wait time.Duration, run func()) {
	d.lastSeq++
	heap.Push(&d.queue, scheduledEvent{at: d.now + wait, seq: d.lastSeq, run: run})
}

// runEvery runs the function now and then once per interval.
func (d *driver) runEvery(interval time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		d.schedule(interval, tick)
	}
	tick()
}

// run simulates the warm-up and then the whole trace.
func (d *driver) run() error {
	if err := d.publishDocuments(); err != nil {
		return err
	}
	d.runEvery(expiryInterval, d.expireQueues)
	d.runEvery(reportInterval, d.refreshProcesses)
	d.runEvery(time.Second, d.simulateSecond)
	d.runUntil(warmUp)
	d.scheduleArrivals()
	for _, e := range d.trace.Events {
		d.schedule(time.Duration(e.AtS)*time.Second, func() { d.applyEvent(e) })
	}
	d.counters.startMeasuring(d)
	d.runUntil(warmUp + d.trace.duration())
	d.counters.finishMeasuring(d)
	return nil
}

func (d *driver) runUntil(until time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at <= until {
		e := heap.Pop(&d.queue).(scheduledEvent)
		d.now = e.at
		e.run()
	}
	d.now = until
}

// append appends a batch of one entry to the log and applies it to the fold. It returns the verdict of the fold, or false
// if the process cannot reach the log or the fold returned no verdict.
func (d *driver) append(p *process, entry *wigeonwire.Entry) (wigeonstate.Verdict, bool) {
	if !d.canReachLog(p) {
		return wigeonstate.Verdict{}, false
	}
	p.sequence++
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wigeonwire.Batch{
		Session: uint64(p.session), Sequence: p.sequence, AtUnixMs: d.time().UnixMilli(), Entries: []*wigeonwire.Entry{entry},
	})
	if err != nil {
		return wigeonstate.Verdict{}, false
	}
	verdicts := d.state.Apply(d.offset, payload)
	d.offset++
	if len(verdicts) == 0 {
		return wigeonstate.Verdict{}, false
	}
	return verdicts[0], true
}

// appendWithRetry retries the append every second until it succeeds or the process crashes or restarts. It does not
// evaluate the verdict.
func (d *driver) appendWithRetry(p *process, entry *wigeonwire.Entry) {
	incarnation := p.incarnation
	if _, ok := d.append(p, entry); ok {
		return
	}
	d.schedule(time.Second, func() {
		if p.incarnation == incarnation && !p.crashed {
			d.appendWithRetry(p, entry)
		}
	})
}

// logLatency returns the time from the start of an append until its record has been read back.
func (d *driver) logLatency() time.Duration {
	return time.Duration(d.trace.LogLatencyMS) * time.Millisecond
}

// expireQueues refuses the work that has waited too long in a queue of an entry core.
func (d *driver) expireQueues() {
	for _, e := range d.entryCores {
		e.expireQueued()
	}
}

// refreshProcesses updates the view of every process from the log and the pools of the entry cores, exchanges the demand
// reports between the entry cores, and records the document changes that have come into force.
func (d *driver) refreshProcesses() {
	for _, p := range d.processes {
		d.refreshView(p)
	}
	for _, e := range d.entryCores {
		if e.isRunning() {
			e.refreshPools()
		}
	}
	d.exchangeDemand()
	d.recordChangesInForce()
}

// simulateSecond runs once per second. It updates the platform, expires sessions, runs a planning round of every control
// daemon and samples the measures. On even seconds it also renews the sessions and queues the pending jobs.
func (d *driver) simulateSecond() {
	d.finishReboots()
	d.recordVMList()
	if d.now/time.Second%2 == 0 {
		for _, p := range d.processes {
			d.renewSession(p)
		}
		for _, e := range d.entryCores {
			if e.isRunning() {
				e.queuePendingJobs()
			}
		}
	}
	d.expireSessions()
	for _, daemon := range d.daemons {
		daemon.runRound()
	}
	d.counters.sampleSecond(d)
}
