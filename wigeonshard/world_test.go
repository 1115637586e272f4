package wigeonshard

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonreplica"
)

// world is a small model of the log, the workers and the network between them, in virtual time. It checks the promises
// while it runs: no task runs twice at the same time or after its end was noted, no worker is over its room, no step
// starts before the ones it waits for.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	queue  events
	nextID int

	workers  map[wigeonstep.WorkerID]*fakeWorker
	log      wigeonreplica.Replica
	epoch    wigeonstep.Fence
	sequence uint64
	logDown  bool
	owners   []*fakeOwner
	listed   []wigeonstep.ListedWorker
	cordons  map[wigeonstep.WorkerID]wigeonstep.VMID
	jobs     map[wigeonstep.JobID]*wigeonjob.Job

	// loss is the part of the calls whose answers are lost, late the part that is carried out seconds later.
	loss, late float64
	running    map[wigeonstep.TaskID]int
	noted      map[wigeonstep.TaskID]bool
	doneTasks  map[wigeonstep.TaskID]bool
	faults     []string
	history    map[wigeonstep.TaskID][]string
	duration   func(id wigeonstep.RunID) (time.Duration, wigeonstep.EndCause)
}

// fakeOwner is one process that believes to own the shard.
type fakeOwner struct {
	*Owner
	epoch    wigeonstep.Fence
	sequence uint64
	dead     bool
	// cut names the workers that it can't reach.
	cut        map[wigeonstep.WorkerID]bool
	cutFromLog bool
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const testService = wigeonstep.ServiceName("bake")

var testSettings = Settings{Lease: 5 * time.Second, HoldWait: 1500 * time.Millisecond, HoldGap: 20 * time.Millisecond, ConfirmLimit: 6 * time.Second}

func newWorld(t *testing.T, seed uint64, workers int) *world {
	t.Helper()
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Hour,
		workers: map[wigeonstep.WorkerID]*fakeWorker{},
		running: map[wigeonstep.TaskID]int{}, noted: map[wigeonstep.TaskID]bool{}, doneTasks: map[wigeonstep.TaskID]bool{},
		history: map[wigeonstep.TaskID][]string{},
		cordons: map[wigeonstep.WorkerID]wigeonstep.VMID{}, jobs: map[wigeonstep.JobID]*wigeonjob.Job{},
	}
	w.duration = func(wigeonstep.RunID) (time.Duration, wigeonstep.EndCause) {
		return 200*time.Millisecond + time.Duration(w.random.IntN(800))*time.Millisecond, wigeonstep.EndDone
	}
	for i := range workers {
		w.addWorker(wigeonstep.WorkerID(fmt.Sprintf("w%02d", i)), wigeonstep.Label(fmt.Sprintf("r%d", i/4)))
	}
	return w
}

func (w *world) addWorker(id wigeonstep.WorkerID, rack wigeonstep.Label) *fakeWorker {
	f := &fakeWorker{
		listed: wigeonstep.ListedWorker{
			ID: id, Address: string(id) + ":1", Service: testService, Born: wigeonstep.UnixMillis(w.now.Milliseconds()),
			Capacity: wigeonstep.Resources{CPU: 8000, Memory: 8192}, Labels: []wigeonstep.Label{"a", rack}, Rack: rack,
		},
		born: w.now - time.Duration(w.random.IntN(5000))*time.Millisecond,
		runs: map[wigeonstep.RunID]*fakeRun{}, highest: map[wigeonstep.TaskID]wigeonstep.RunNumber{},
	}
	w.workers[id] = f
	w.listed = append(w.listed, f.listed)
	return f
}

func (w *world) after(d time.Duration, do func()) {
	w.nextID++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.nextID, do: do})
}

func (w *world) time() Now {
	return Now{Steady: w.now, Wall: wigeonstep.UnixMillis(1_700_000_000_000 + w.now.Milliseconds())}
}

// run plays for a time.
func (w *world) run(d time.Duration) {
	until := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// own makes a new owner, which shuts earlier ones out of the log.
func (w *world) own() *fakeOwner {
	w.epoch++
	w.sequence = 0
	o := &fakeOwner{Owner: NewOwner(testSettings, w.epoch, w.time(), w.log.Owner), epoch: w.epoch, cut: map[wigeonstep.WorkerID]bool{}}
	for _, r := range w.log.Releases {
		o.SetReleased(r)
	}
	ids := make([]wigeonstep.JobID, 0, len(w.log.Jobs()))
	for id := range w.log.Jobs() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := w.log.Find(id)
		o.Add(w.time(), e.Job, e.Progress, e.Cancelled)
	}
	o.SetWorkers(w.time(), w.listed)
	o.SetCordons(w.cordons)
	w.owners = append(w.owners, o)
	w.tick(o)
	return o
}

func (w *world) tick(o *fakeOwner) {
	if o.dead || o.Deposed() {
		return
	}
	w.execute(o, o.Step(w.time()))
	w.after(10*time.Millisecond, func() { w.tick(o) })
}

// submit puts a job into the log and tells the live owners.
func (w *world) submit(job *wigeonjob.Job) {
	w.jobs[job.ID] = job
	value, err := wigeonjob.EncodeJob(job)
	qt.Assert(w.t, err, qt.IsNil)
	w.apply(wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindJob, job.ID), Value: value})
	for _, o := range w.owners {
		if !o.dead && !o.cutFromLog {
			o.Add(w.time(), job, wigeonjob.Progress{}, false)
		}
	}
}

func (w *world) cancel(id wigeonstep.JobID) {
	value, err := wigeonjob.EncodeCancel(w.time().Wall)
	qt.Assert(w.t, err, qt.IsNil)
	w.apply(wigeonstep.KeyedRecord{Key: wigeonjob.Key(wigeonjob.KindCancel, id), Value: value})
	for _, o := range w.owners {
		if !o.dead && !o.cutFromLog {
			o.Cancel(w.time(), id)
		}
	}
}

func (w *world) apply(record wigeonstep.KeyedRecord) {
	qt.Assert(w.t, w.log.Apply(record), qt.IsNil)
}

func (w *world) execute(o *fakeOwner, a Actions) {
	if a.Append != nil {
		o.sequence++
		w.append(o, a.Append)
	}
	for _, n := range a.Notes {
		w.remember(n.Run.Task, "owner %d: %s %s: %s", o.epoch, n.Event, n.Worker, n.Cause)
	}
	for _, s := range a.Starts {
		w.call(o, s.Worker.ID, func(f *fakeWorker) any { return f.start(w, s.Order) }, func(answer any) {
			result, ok := answer.(wigeonstep.StartResult)
			if !ok {
				result = wigeonstep.StartResult{Verdict: wigeonstep.StartLost}
			}
			o.Started(w.time(), s.Worker.ID, s.Order.Run, result)
		})
	}
	for _, s := range a.Stops {
		w.call(o, s.Worker.ID, func(f *fakeWorker) any { return f.stop(w, s.Run, o.epoch) }, func(answer any) {
			err, _ := answer.(error)
			o.Stopped(w.time(), s.Worker.ID, s.Run, err)
		})
	}
	for _, h := range a.Holds {
		w.call(o, h.Worker.ID, func(f *fakeWorker) any { return f.hold(w, h.Order) }, func(answer any) {
			switch answer := answer.(type) {
			case wigeonstep.HoldResult:
				o.Held(w.time(), h.Worker.ID, answer, nil)
			case error:
				o.Held(w.time(), h.Worker.ID, wigeonstep.HoldResult{}, answer)
			}
		})
	}
}

// append makes records durable in the order of the owner's appends; an answer that is lost is asked for again.
func (w *world) append(o *fakeOwner, records []wigeonstep.KeyedRecord) {
	sequence := o.sequence
	w.after(time.Duration(2+w.random.IntN(6))*time.Millisecond, func() {
		switch {
		case o.dead:
			return
		case w.logDown || o.cutFromLog:
			w.after(50*time.Millisecond, func() { w.append(o, records) })
			return
		case o.epoch < w.epoch:
			o.deposed = true
			return
		}
		if sequence > w.sequence {
			w.sequence = sequence
			for _, r := range records {
				w.apply(r)
			}
		}
		if w.random.Float64() < w.loss {
			w.after(100*time.Millisecond, func() { w.append(o, records) })
			return
		}
		o.Flushed(w.time())
	})
}

// call sends an order to a worker. Its answer may be lost, and it may be carried out seconds later.
func (w *world) call(o *fakeOwner, id wigeonstep.WorkerID, do func(*fakeWorker) any, back func(any)) {
	const timeout = 400 * time.Millisecond
	lost := func() {
		w.after(timeout, func() {
			if !o.dead {
				back(wigeonstep.ErrAnswerLost)
			}
		})
	}
	f := w.workers[id]
	if f == nil || o.cut[id] || f.down {
		lost()
		return
	}
	// An order that was received by one life of a worker ends with that life.
	born := f.born
	received := do
	do = func(f *fakeWorker) any {
		if f.born != born {
			return wigeonstep.ErrAnswerLost
		}
		return received(f)
	}
	roll := w.random.Float64()
	latency := time.Duration(300+w.random.IntN(1500)) * time.Microsecond
	switch {
	case roll < w.late:
		w.after(2*time.Second+time.Duration(w.random.IntN(9000))*time.Millisecond, func() { w.deliver(f, do) })
		lost()
	case roll < w.late+w.loss:
		w.after(latency, func() { w.deliver(f, do) })
		lost()
	default:
		w.after(latency, func() {
			answer := w.deliver(f, do)
			if answer == nil {
				answer = error(nil)
			}
			w.after(latency, func() {
				if !o.dead {
					back(answer)
				}
			})
		})
	}
}

func (w *world) deliver(f *fakeWorker, do func(*fakeWorker) any) any {
	if f.down {
		return wigeonstep.ErrAnswerLost
	}
	return do(f)
}

func (w *world) unfinished() []string {
	var open []string
	for id, e := range w.log.Jobs() {
		if e.Job != nil && !e.State().Terminal() {
			open = append(open, fmt.Sprintf("%s %s", id, e.State()))
		}
	}
	slices.Sort(open)
	return open
}

func testJob(id wigeonstep.JobID, steps ...wigeonjob.Step) *wigeonjob.Job {
	return &wigeonjob.Job{ID: id, Queue: "q", Service: testService, Steps: steps, Policy: wigeonstep.QueuePolicy{Attempts: 4, Stretch: 1.6, Target: 600 * time.Millisecond}}
}

func testStep(count int, after ...int) wigeonjob.Step {
	return wigeonjob.Step{Count: count, Need: wigeonstep.Resources{CPU: 1800, Memory: 1000}, Estimate: 700 * time.Millisecond, After: after}
}
