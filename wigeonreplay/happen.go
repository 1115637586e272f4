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

// documentChange is an accepted change that is not in force everywhere yet.
type documentChange struct {
	service wigeonstep.ServiceName
	version wigeonstep.Version
	at      time.Duration
}

func (d *driver) happen(e Event) {
	length := time.Duration(e.ForS) * time.Second
	switch e.Kind {
	case "vm_fail":
		d.fail(d.machines[e.VM])
	case "vm_return":
		d.restore(d.machines[e.VM])
	case "rack_fail":
		for _, id := range d.trace.racks[rackKey{e.DataCentre, e.Rack}] {
			d.fail(d.machines[id])
		}
	case "rack_return":
		for _, id := range d.trace.racks[rackKey{e.DataCentre, e.Rack}] {
			d.restore(d.machines[id])
		}
	case "data_centre_fail":
		d.failDataCentre(e.DataCentre)
	case "data_centre_return":
		d.restoreDataCentre(e.DataCentre)
	case "pause":
		d.pause(e, length)
	case "cut":
		d.cut[e.DataCentre] = true
		d.after(length, func() { delete(d.cut, e.DataCentre) })
	case "log_outage":
		d.logDown = true
		d.after(length, func() { d.logDown = false })
	case "cancel":
		d.cancel(e)
	case "document_change":
		submitted := d.now
		d.after(d.logDelay(), func() { d.changeDocument(e, submitted) })
	case "wave":
		d.startWave(e.Pool)
	case "arrive":
		key := routeKey{e.Team, e.Class}
		d.arrive(key, e.Key, time.Duration(e.RunMS)*time.Millisecond)
	}
}

func (d *driver) failDataCentre(name wigeonstep.DataCentreName) {
	for _, id := range d.ids {
		if m := d.machines[id]; m.DataCentre == name {
			d.fail(m)
		}
	}
	for _, p := range d.processes {
		if p.dataCentre == name && p != d.operator {
			p.dead = true
		}
	}
}

func (d *driver) restoreDataCentre(name wigeonstep.DataCentreName) {
	for _, id := range d.ids {
		if m := d.machines[id]; m.DataCentre == name {
			d.restore(m)
		}
	}
	for _, p := range d.processes {
		if p.dataCentre == name && p.dead {
			d.start(p)
		}
	}
}

// pause stops the process of the role on the first entry VM of the data centre.
func (d *driver) pause(e Event, length time.Duration) {
	role := wigeonwire.Role_ROLE_CONTROL
	if e.Role == "entry" {
		role = wigeonwire.Role_ROLE_ENTRY
	}
	i := slices.IndexFunc(d.processes, func(p *process) bool { return p.role == role && p.dataCentre == e.DataCentre })
	d.processes[i].pausedUntil = d.now + length
}

func (d *driver) cancel(e Event) {
	if e.Key != "" {
		if id, ok := d.lastKeys[e.Key]; ok {
			d.cancelJob(id)
		}
		return
	}
	for _, id := range d.jobIDs {
		j := d.jobs[id]
		known, ok := d.state.Job(id)
		pending := ok && known.GetState() == wigeonwire.JobState_JOB_STATE_PENDING
		if pending && j.key == (routeKey{e.Team, e.Class}) && d.random.IntN(100) < e.Percent {
			d.cancelJob(id)
		}
	}
}

// publishDocuments puts the documents in force and opens the streams of the trace.
func (d *driver) publishDocuments() error {
	for i := range d.trace.Documents {
		document := &d.trace.Documents[i]
		verdict, ok := d.append(d.operator, change(document, "initial-"+string(document.Service), 0, "operator", d.trace.contents[string(document.Service)]))
		if !ok || !verdict.Accepted {
			return fmt.Errorf("document of service %s: %s", document.Service, verdict.Reason)
		}
	}
	for _, a := range d.trace.Arrivals {
		d.stream(routeKey{a.Team, a.Class})
	}
	for _, e := range d.trace.Events {
		if e.Kind == "arrive" {
			d.stream(routeKey{e.Team, e.Class})
		}
	}
	return nil
}

func change(document *wigeondocument.Document, id string, base int, operator string, content []byte) *wigeonwire.Entry {
	return &wigeonwire.Entry{Body: &wigeonwire.Entry_DocumentChange{DocumentChange: &wigeonwire.DocumentChange{
		ChangeId: id, Service: string(document.Service), BaseVersion: uint64(base), Content: content, Operator: operator,
	}}}
}

// recordVMs puts every VM into the fold as in service and maintained at the start of the replay.
func (d *driver) recordVMs() {
	for _, id := range d.ids {
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

// changeDocument is one operator's change. Two events of one time and base are a race.
func (d *driver) changeDocument(e Event, submitted time.Duration) {
	c := d.trace.changes[e.Change]
	verdict, ok := d.append(d.operator, change(&c.Document, e.Change, e.Base, e.Operator, d.trace.contents["change/"+e.Change]))
	switch {
	case !ok:
		d.after(time.Second, func() { d.changeDocument(e, submitted) })
	case verdict.Accepted:
		d.measured.changesAccepted++
		d.unsettled = append(d.unsettled, &documentChange{c.Document.Service, wigeonstep.Version(e.Base + 1), submitted})
		d.measured.accepted(c.Document.Service, e.Base)
	default:
		d.measured.changesRefused++
	}
}

// settleDocuments measures when a change is in force at every entry core that reaches the log.
func (d *driver) settleDocuments() {
	d.unsettled = slices.DeleteFunc(d.unsettled, func(c *documentChange) bool {
		for _, e := range d.entries {
			if s := e.view.Services[c.service]; d.reaches(e.process) && (s == nil || s.Version < c.version) {
				return false
			}
		}
		d.measured.inForce = max(d.measured.inForce, d.now-c.at)
		d.measured.inForceKnown = true
		return true
	})
}

// startWave proposes the wave that is due in the pool, as the first control daemon that can.
func (d *driver) startWave(pool wigeonstep.PoolName) {
	i := slices.IndexFunc(d.daemons, func(c *daemon) bool { return d.reaches(c.process) })
	if i < 0 {
		d.after(time.Second, func() { d.startWave(pool) })
		return
	}
	id := wigeonstep.WaveID(fmt.Sprintf("%s-due-%d", pool, int(d.now.Seconds())))
	verdict, ok := d.append(d.daemons[i].process, &wigeonwire.Entry{Body: &wigeonwire.Entry_WaveStart{WaveStart: &wigeonwire.WaveStart{Wave: string(id), Pool: string(pool)}}})
	if !ok || !verdict.Accepted {
		return
	}
	run := &waveRun{id: id, pool: pool, started: d.now}
	for _, vm := range d.state.View().Pools[pool] {
		run.members = append(run.members, vm.ID)
	}
	d.waves = append(d.waves, run)
}

// startArrivals draws the requests of every stream.
func (d *driver) startArrivals() {
	for i := range d.trace.Arrivals {
		a := &d.trace.Arrivals[i]
		random := rand.New(rand.NewPCG(d.random.Uint64(), uint64(i)))
		var next func()
		next = func() {
			d.after(time.Duration(random.ExpFloat64()/a.peak()*float64(time.Second)), func() {
				draw, spread, repeat := random.Float64(), random.Float64(), random.IntN(100)
				if draw*a.peak() < a.rate(d.now-warmUp) {
					run := time.Duration((0.5 + spread) * float64(a.TrueRunMS) * float64(time.Millisecond))
					key := d.arrive(routeKey{a.Team, a.Class}, "", run)
					if key != "" && repeat < a.RepeatPercent {
						d.after(100*time.Millisecond+time.Duration(random.Int64N(int64(5*time.Second))), func() { d.arrive(routeKey{a.Team, a.Class}, key, run) })
					}
				}
				next()
			})
		}
		next()
	}
}

// arrive is one request of a caller, by way of the load balancer. It returns the request's idempotency key.
func (d *driver) arrive(key routeKey, text wigeonstep.Key, run time.Duration) wigeonstep.Key {
	r, s := d.trace.routes[key], d.streams[key]
	s.arrived++
	if text == "" && !r.class.Idempotent {
		d.nextKey++
		text = wigeonstep.Key(fmt.Sprintf("key-%d", d.nextKey))
	}
	var ready []*entry
	for _, e := range d.entries {
		if e.runs() && e.session != 0 {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		s.refused++
		return text
	}
	e := ready[d.random.IntN(len(ready))]
	if text != "" {
		e = d.keyed(e, s, text)
	}
	if e == nil {
		return text
	}
	if r.class.Kind == wigeondocument.KindLong {
		d.acceptJob(e, key, r, text, run)
		return text
	}
	w := &work{stream: s, key: key, class: r.class, idempotencyKey: text, arrived: d.now, run: run}
	if text != "" {
		e.keys[text] = true
	}
	w.submit(e, r.document.Pool)
	return text
}

// keyed finds the owner of the key and answers the requests that it must not run.
func (d *driver) keyed(e *entry, s *stream, text wigeonstep.Key) *entry {
	owner := d.ownerOf(e.view, e.dataCentre, text)
	switch {
	case owner == nil:
		s.unknown++
		return nil
	case owner.keys[text]:
		s.repeated++
		return nil
	}
	if _, known := d.state.Key(text); known {
		s.repeated++
		return nil
	}
	if !d.reaches(owner.process) {
		// Within the lease the owner knows that no other one can have run the key; after it the outcome is unknown.
		if owner.leaseValid() {
			s.refused++
		} else {
			s.unknown++
		}
		return nil
	}
	return owner
}
