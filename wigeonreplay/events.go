package wigeonreplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// documentChange is an accepted document change that some entry process has not applied yet.
type documentChange struct {
	service     wigeonstep.ServiceName
	version     wigeonstep.DocumentVersion
	submittedAt time.Duration
}

func (d *driver) applyEvent(e Event) {
	length := time.Duration(e.ForS) * time.Second
	switch e.Kind {
	case "vm_fail":
		d.failMachine(d.machines[e.VM])
	case "vm_return":
		d.restoreMachine(d.machines[e.VM])
	case "rack_fail":
		for _, id := range d.trace.racks[rackKey{e.DataCentre, e.Rack}] {
			d.failMachine(d.machines[id])
		}
	case "rack_return":
		for _, id := range d.trace.racks[rackKey{e.DataCentre, e.Rack}] {
			d.restoreMachine(d.machines[id])
		}
	case "data_centre_fail":
		d.failDataCentre(e.DataCentre)
	case "data_centre_return":
		d.restoreDataCentre(e.DataCentre)
	case "pause":
		d.pauseProcess(e, length)
	case "cut":
		d.isolated[e.DataCentre] = true
		d.schedule(length, func() { delete(d.isolated, e.DataCentre) })
	case "log_outage":
		d.logDown = true
		d.schedule(length, func() { d.logDown = false })
	case "cancel":
		d.cancelJobs(e)
	case "document_change":
		submitted := d.now
		d.schedule(d.logLatency(), func() { d.changeDocument(e, submitted) })
	case "wave":
		d.startWave(e.Pool)
	case "arrive":
		key := routeKey{e.Team, e.Class}
		d.handleArrival(key, e.Key, time.Duration(e.RunMS)*time.Millisecond)
	}
}

func (d *driver) failDataCentre(name wigeonstep.DataCentreName) {
	for _, id := range d.vmIDs {
		if m := d.machines[id]; m.DataCentre == name {
			d.failMachine(m)
		}
	}
	for _, p := range d.processes {
		if p.dataCentre == name && p != d.operator {
			p.crashed = true
		}
	}
}

func (d *driver) restoreDataCentre(name wigeonstep.DataCentreName) {
	for _, id := range d.vmIDs {
		if m := d.machines[id]; m.DataCentre == name {
			d.restoreMachine(m)
		}
	}
	for _, p := range d.processes {
		if p.dataCentre == name && p.crashed {
			d.startProcess(p)
		}
	}
}

// pauseProcess suspends the process of the event's role on the first entry VM of the data centre.
func (d *driver) pauseProcess(e Event, length time.Duration) {
	role := wigeonwire.Role_ROLE_CONTROL
	if e.Role == "entry" {
		role = wigeonwire.Role_ROLE_ENTRY
	}
	i := slices.IndexFunc(d.processes, func(p *process) bool { return p.role == role && p.dataCentre == e.DataCentre })
	d.processes[i].pausedUntil = d.now + length
}

// cancelJobs cancels the job of the event's key. Without a key it cancels each pending job of the class with the probability
// Percent.
func (d *driver) cancelJobs(e Event) {
	if e.Key != "" {
		if id, ok := d.jobsByKey[e.Key]; ok {
			d.cancelJob(id)
		}
		return
	}
	for _, id := range d.jobIDs {
		j := d.jobs[id]
		recorded, ok := d.state.Job(id)
		pending := ok && recorded.GetState() == wigeonwire.JobState_JOB_STATE_PENDING
		if pending && j.key == (routeKey{e.Team, e.Class}) && d.random.IntN(100) < e.Percent {
			d.cancelJob(id)
		}
	}
}

// publishDocuments proposes the initial documents and creates the counters of each class that receives requests.
func (d *driver) publishDocuments() error {
	for i := range d.trace.Documents {
		document := &d.trace.Documents[i]
		verdict, ok := d.append(d.operator, documentChangeEntry(document, "initial-"+string(document.Service), 0, "operator", d.trace.contents[string(document.Service)]))
		if !ok || !verdict.Accepted {
			return fmt.Errorf("initial document of service %s was not accepted: %s", document.Service, verdict.Reason)
		}
	}
	for _, a := range d.trace.Arrivals {
		d.classStats(routeKey{a.Team, a.Class})
	}
	for _, e := range d.trace.Events {
		if e.Kind == "arrive" {
			d.classStats(routeKey{e.Team, e.Class})
		}
	}
	return nil
}

func documentChangeEntry(document *wigeondocument.Document, id string, base int, operator string, content []byte) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: id, Service: string(document.Service), BaseVersion: uint64(base), Content: content, Operator: operator,
	}}}
}

// recordVMs records every VM and one complete maintenance of it on the log, so that the replay starts with all VMs in
// service and just maintained.
func (d *driver) recordVMs() {
	for _, id := range d.vmIDs {
		m := d.machines[id]
		i := slices.IndexFunc(d.daemons, func(c *daemon) bool { return c.dataCentre == m.DataCentre })
		p := d.daemons[i].process
		d.append(p, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmObserve{VmObserve: &wigeonwire.VMObserve{
			Vm: string(id), DataCentre: string(m.DataCentre), Rack: string(m.Rack), Pool: string(m.Pool), Address: m.Address,
			Shape: &wigeonwire.Shape{
				Cores: uint32(m.Shape.Cores), MemoryGb: uint32(m.Shape.MemoryGB), Accelerators: uint32(m.Shape.Accelerators),
				Slots: uint32(m.Shape.Slots), Connections: uint32(m.Shape.Connections),
			},
		}}})
		for _, to := range []wigeonwire.Phase{
			wigeonwire.Phase_PHASE_DRAINING, wigeonwire.Phase_PHASE_DRAINED, wigeonwire.Phase_PHASE_REBOOTING,
			wigeonwire.Phase_PHASE_VERIFYING, wigeonwire.Phase_PHASE_IN_SERVICE,
		} {
			d.append(p, &wigeonwire.Entry{Body: &wigeonwire.Entry_VmTransition{VmTransition: &wigeonwire.VMTransition{
				Vm: string(id), Epoch: uint64(d.state.View().VMs[id].Epoch), To: to, Cause: "maintained before the trace",
			}}})
		}
	}
}

// changeDocument proposes the document change of an operator, and retries every second while the log is unreachable. Two
// events with the same base version compete; the fold must accept at most one of them.
func (d *driver) changeDocument(e Event, submitted time.Duration) {
	c := d.trace.changes[e.Change]
	verdict, ok := d.append(d.operator, documentChangeEntry(&c.Document, e.Change, e.Base, e.Operator, d.trace.contents["change/"+e.Change]))
	switch {
	case !ok:
		d.schedule(time.Second, func() { d.changeDocument(e, submitted) })
	case verdict.Accepted:
		d.counters.changesAccepted++
		d.pendingChanges = append(d.pendingChanges, &documentChange{c.Document.Service, wigeonstep.DocumentVersion(e.Base + 1), submitted})
		d.counters.recordAcceptedChange(c.Document.Service, e.Base)
	default:
		d.counters.changesRefused++
	}
}

// recordChangesInForce removes the pending changes that are in force at every entry process that can reach the log, and
// records the time since their submission.
func (d *driver) recordChangesInForce() {
	d.pendingChanges = slices.DeleteFunc(d.pendingChanges, func(c *documentChange) bool {
		for _, e := range d.entryCores {
			if s := e.view.Services[c.service]; d.canReachLog(e.process) && (s == nil || s.Version < c.version) {
				return false
			}
		}
		d.counters.slowestChange = max(d.counters.slowestChange, d.now-c.submittedAt)
		d.counters.changeInForce = true
		return true
	})
}

// startWave proposes a maintenance wave of the pool through the first control daemon that can reach the log. It retries
// every second while none can. A wave that the fold refuses is not measured.
func (d *driver) startWave(pool wigeonstep.PoolName) {
	i := slices.IndexFunc(d.daemons, func(c *daemon) bool { return d.canReachLog(c.process) })
	if i < 0 {
		d.schedule(time.Second, func() { d.startWave(pool) })
		return
	}
	id := wigeonstep.WaveID(fmt.Sprintf("%s-due-%d", pool, int(d.now.Seconds())))
	verdict, ok := d.append(d.daemons[i].process, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: string(id), Pool: string(pool)}}})
	if !ok || !verdict.Accepted {
		return
	}
	progress := &waveProgress{id: id, pool: pool, started: d.now}
	for _, vm := range d.state.View().Pools[pool] {
		progress.members = append(progress.members, vm.ID)
	}
	d.waves = append(d.waves, progress)
}

// scheduleArrivals draws the arrival times of each Arrivals entry by thinning a Poisson process of its peak rate.
func (d *driver) scheduleArrivals() {
	for i := range d.trace.Arrivals {
		a := &d.trace.Arrivals[i]
		random := rand.New(rand.NewPCG(d.random.Uint64(), uint64(i)))
		var next func()
		next = func() {
			d.schedule(time.Duration(random.ExpFloat64()/a.peak()*float64(time.Second)), func() {
				draw, spread, repeat := random.Float64(), random.Float64(), random.IntN(100)
				if draw*a.peak() < a.rate(d.now-warmUp) {
					runTime := time.Duration((0.5 + spread) * float64(a.TrueRunMS) * float64(time.Millisecond))
					key := d.handleArrival(routeKey{a.Team, a.Class}, "", runTime)
					if key != "" && repeat < a.RepeatPercent {
						d.schedule(100*time.Millisecond+time.Duration(random.Int64N(int64(5*time.Second))), func() { d.handleArrival(routeKey{a.Team, a.Class}, key, runTime) })
					}
				}
				next()
			})
		}
		next()
	}
}

// handleArrival simulates a caller's request, which the load balancer sends to a random running entry process. It
// returns the idempotency key of the request, and generates one if the class is not idempotent and the caller gave none.
func (d *driver) handleArrival(key routeKey, idempotencyKey wigeonstep.IdempotencyKey, runTime time.Duration) wigeonstep.IdempotencyKey {
	r, s := d.trace.routes[key], d.stats[key]
	s.arrived++
	if idempotencyKey == "" && !r.class.Idempotent {
		d.lastKeyNumber++
		idempotencyKey = wigeonstep.IdempotencyKey(fmt.Sprintf("key-%d", d.lastKeyNumber))
	}
	var ready []*entryCore
	for _, e := range d.entryCores {
		if e.isRunning() && e.session != 0 {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		s.refused++
		return idempotencyKey
	}
	e := ready[d.random.IntN(len(ready))]
	if idempotencyKey != "" {
		e = d.resolveKey(e, s, idempotencyKey)
	}
	if e == nil {
		return idempotencyKey
	}
	if r.class.Kind == wigeondocument.KindLong {
		d.acceptJob(e, key, r, idempotencyKey, runTime)
		return idempotencyKey
	}
	w := &work{stats: s, key: key, class: r.class, idempotencyKey: idempotencyKey, arrived: d.now, runTime: runTime}
	if idempotencyKey != "" {
		e.activeKeys[idempotencyKey] = true
	}
	w.submit(e, r.document.Pool)
	return idempotencyKey
}

// resolveKey returns the entry core that owns the key and is to run the request. It returns nil if the request must not
// run, and has then counted the request as repeated, refused or unknown.
func (d *driver) resolveKey(e *entryCore, s *classStats, idempotencyKey wigeonstep.IdempotencyKey) *entryCore {
	owner := d.ownerOf(e.view, e.dataCentre, idempotencyKey)
	switch {
	case owner == nil:
		s.unknown++
		return nil
	case owner.activeKeys[idempotencyKey]:
		s.repeated++
		return nil
	}
	if _, recorded := d.state.Key(idempotencyKey); recorded {
		s.repeated++
		return nil
	}
	if !d.canReachLog(owner.process) {
		// While the owner's lease is valid, no other process can have run the request. Once it has ended, another process
		// may have run the request, so the outcome is unknown.
		if owner.leaseValid() {
			s.refused++
		} else {
			s.unknown++
		}
		return nil
	}
	return owner
}
