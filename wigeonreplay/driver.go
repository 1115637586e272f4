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
	// tickSpan is the time between looks at expired tickets; reportSpan that between demand reports (design page, section 10).
	tickSpan   = 100 * time.Millisecond
	reportSpan = 200 * time.Millisecond
	// network is the time of a message within and between data centres.
	network = 500 * time.Microsecond
	// warmUp is the time from the opening of the sessions to the start of the trace, in which the documents come into force.
	warmUp = 10 * time.Second
)

// epoch is the wall-clock time at which a replay starts.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// driver replays one trace. Everything runs in one goroutine, in the order of the event queue.
type driver struct {
	trace  *Trace
	policy Policy
	now    time.Duration
	queue  eventQueue
	seq    int
	random *rand.Rand

	state      wigeonstate.State
	offset     wigeonstep.Offset
	logDown    bool
	cut        map[wigeonstep.DataCentreName]bool
	machines   map[wigeonstep.VMID]*machine
	ids        []wigeonstep.VMID
	lists      []*wigeonstep.VMList
	pools      []wigeonstep.PoolName
	processes  []*process
	entries    []*entry
	daemons    []*daemon
	operator   *process
	jobs       map[wigeonstep.JobID]*job
	jobIDs     []wigeonstep.JobID
	nextJob    int
	nextKey    int
	keyRuns    map[wigeonstep.Key]int
	lastKeys   map[wigeonstep.Key]wigeonstep.JobID
	waves      []*waveRun
	unsettled  []*documentChange
	measured   measured
	streams    map[routeKey]*stream
	streamKeys []routeKey
	held       map[wigeonstep.PoolName]int
}

func newDriver(trace *Trace, seed uint64, policy Policy) *driver {
	d := &driver{
		trace: trace, policy: policy, random: rand.New(rand.NewPCG(seed, 3)),
		cut: map[wigeonstep.DataCentreName]bool{}, machines: map[wigeonstep.VMID]*machine{},
		jobs: map[wigeonstep.JobID]*job{}, keyRuns: map[wigeonstep.Key]int{}, lastKeys: map[wigeonstep.Key]wigeonstep.JobID{},
		streams: map[routeKey]*stream{}, held: map[wigeonstep.PoolName]int{},
	}
	d.addMachines()
	d.addProcesses(seed)
	return d
}

// time returns the wall-clock time, which all processes agree on.
func (d *driver) time() time.Time { return epoch.Add(d.now) }

func (d *driver) after(wait time.Duration, run func()) {
	d.seq++
	heap.Push(&d.queue, event{at: d.now + wait, seq: d.seq, run: run})
}

// every runs the function now and after each span.
func (d *driver) every(span time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		d.after(span, again)
	}
	again()
}

// run replays the trace from its start to its end.
func (d *driver) run() error {
	if err := d.publishDocuments(); err != nil {
		return err
	}
	d.every(tickSpan, d.tick)
	d.every(reportSpan, d.report)
	d.every(time.Second, d.second)
	d.runUntil(warmUp)
	d.startArrivals()
	for _, e := range d.trace.Events {
		d.after(time.Duration(e.AtS)*time.Second, func() { d.happen(e) })
	}
	d.measured.begin(d)
	d.runUntil(warmUp + d.trace.duration())
	d.measured.end(d)
	return nil
}

func (d *driver) runUntil(until time.Duration) {
	for len(d.queue) > 0 && d.queue[0].at <= until {
		e := heap.Pop(&d.queue).(event)
		d.now = e.at
		e.run()
	}
	d.now = until
}

// append proposes one entry in a batch of its own. It returns false when the process cannot reach the log.
func (d *driver) append(p *process, entry *wigeonwire.Entry) (wigeonstate.Verdict, bool) {
	if !d.reaches(p) {
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

// appendSurely repeats the append every second until the log takes it or the process dies.
func (d *driver) appendSurely(p *process, entry *wigeonwire.Entry) {
	life := p.life
	if _, ok := d.append(p, entry); ok {
		return
	}
	d.after(time.Second, func() {
		if p.life == life && !p.dead {
			d.appendSurely(p, entry)
		}
	})
}

// logDelay is the time from a decision to the record that was read back.
func (d *driver) logDelay() time.Duration {
	return time.Duration(d.trace.LogLatencyMS) * time.Millisecond
}

// tick lets queued work expire.
func (d *driver) tick() {
	for _, e := range d.entries {
		e.expire()
	}
}

// report lets every process catch up with the log, and the entry cores share their demand.
func (d *driver) report() {
	for _, p := range d.processes {
		d.follow(p)
	}
	for _, e := range d.entries {
		if e.runs() {
			e.refresh()
		}
	}
	d.share()
	d.settleDocuments()
}

// second runs the platform, the renewals and the planners, and takes the measures.
func (d *driver) second() {
	d.returnMachines()
	d.takeList()
	if d.now/time.Second%2 == 0 {
		for _, p := range d.processes {
			d.renew(p)
		}
		for _, e := range d.entries {
			if e.runs() {
				e.pickUpJobs()
			}
		}
	}
	d.expireSilent()
	for _, daemon := range d.daemons {
		daemon.round()
	}
	d.measured.second(d)
}
