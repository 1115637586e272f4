package wigeonreplay

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// job is the simulation's record of a submitted job. Its runTime is the remaining true run time.
type job struct {
	id             wigeonstep.JobID
	key            routeKey
	route          *route
	idempotencyKey wigeonstep.IdempotencyKey
	arrived        time.Duration
	runTime        time.Duration
	cancelled      bool
}

// acceptJob records a job on the log after the log latency. The job counts as accepted once the fold has accepted the
// record.
func (d *driver) acceptJob(e *entryCore, key routeKey, r *route, idempotencyKey wigeonstep.IdempotencyKey, runTime time.Duration) {
	d.lastJobNumber++
	j := &job{id: wigeonstep.JobID(fmt.Sprintf("job-%d", d.lastJobNumber)), key: key, route: r, idempotencyKey: idempotencyKey, arrived: d.now, runTime: runTime}
	incarnation, s := e.incarnation, d.stats[key]
	d.schedule(d.logLatency(), func() {
		if e.incarnation != incarnation || e.crashed {
			s.unknown++
			return
		}
		verdict, ok := d.append(e.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobAccept{JobAccept: &wigeonwire.JobAccept{
			Job: string(j.id), Key: string(idempotencyKey), Service: string(r.document.Service), Team: string(key.team), Class: string(key.class),
		}}})
		switch {
		case !ok:
			s.refused++
		case !verdict.Accepted:
			s.repeated++
		default:
			s.accepted++
			d.jobs[j.id] = j
			d.jobIDs = append(d.jobIDs, j.id)
			if idempotencyKey != "" {
				d.jobsByKey[idempotencyKey] = j.id
			}
		}
	})
}

// newJobWork returns the work of an attempt of the job.
func (d *driver) newJobWork(j *job, attempt uint32) *work {
	w := &work{stats: d.stats[j.key], key: j.key, class: j.route.class, job: j, attempt: attempt, arrived: j.arrived, runTime: j.runTime}
	if !j.route.class.Idempotent {
		w.idempotencyKey = wigeonstep.IdempotencyKey("job/" + string(j.id))
	}
	return w
}

// queuePendingJobs queues the unfinished jobs that the fold assigns to this process, and removes from the queue the
// jobs that are no longer assigned to it. A job whose runner's session has ended is queued again only if its class is
// idempotent; otherwise it ends with the outcome unknown.
func (e *entryCore) queuePendingJobs() {
	d := e.driver
	if !d.canReachLog(e.process) {
		return
	}
	assigned := map[wigeonstep.JobID]bool{}
	for _, recorded := range d.state.UnfinishedJobs(e.session) {
		id := wigeonstep.JobID(recorded.GetAccept().GetJob())
		assigned[id] = true
		j := d.jobs[id]
		if j == nil || e.jobs[id] != nil {
			continue
		}
		if recorded.GetState() == wigeonwire.JobState_JOB_STATE_RUNNING {
			if _, open := d.state.SessionStatus(wigeonstep.SessionID(recorded.GetRunner())); open {
				continue
			}
			if !j.route.class.Idempotent {
				d.stats[j.key].unknown++
				d.append(e.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: &wigeonwire.JobEnd{
					Job: string(id), Attempt: recorded.GetAttempt(), Outcome: wigeonwire.Outcome_OUTCOME_UNKNOWN, Reason: "the process that ran the job is gone",
				}}})
				continue
			}
		}
		w := d.newJobWork(j, recorded.GetAttempt()+1)
		e.jobs[id] = w
		w.submit(e, j.route.document.Pool)
	}
	for _, id := range d.jobIDs {
		if w := e.jobs[id]; w != nil && !assigned[id] && !w.ran && w.sentAt == 0 {
			w.cancelQueued()
		}
	}
}

// cancelQueued removes the work from the queue of its process and starts the work that the admission then grants a slot.
func (w *work) cancelQueued() {
	w.remove()
	_, started := w.pool.admission.Cancel(w.core.driver.time(), w.ticket)
	w.core.startWork(w.pool, started)
}

// cancelJob records the cancellation of a job on the log. If the fold has cancelled the job, cancelJob removes it from
// the queues of the running entry processes.
func (d *driver) cancelJob(id wigeonstep.JobID) {
	j := d.jobs[id]
	i := slices.IndexFunc(d.entryCores, func(e *entryCore) bool { return d.canReachLog(e.process) })
	if j == nil || i < 0 {
		return
	}
	verdict, ok := d.append(d.entryCores[i].process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobCancel{JobCancel: &wigeonwire.JobCancel{Job: string(id), By: "caller"}}})
	if !ok || !verdict.Accepted {
		return
	}
	if recorded, _ := d.state.Job(id); recorded.GetState() != wigeonwire.JobState_JOB_STATE_CANCELLED {
		return
	}
	j.cancelled = true
	d.stats[j.key].cancelled++
	for _, e := range d.entryCores {
		if w := e.jobs[id]; w != nil && e.isRunning() && !w.ran && w.sentAt == 0 {
			w.cancelQueued()
		}
	}
}

// maxJobHandover is the time after its arrival during which an accepted job may be held by no process, for example from
// the loss of the process it was assigned to until another one queues it. After this time it counts as lost.
const maxJobHandover = 30 * time.Second

// countLostJobs returns the number of accepted jobs that the fold does not have, or that have no end on the log and that
// no process holds although maxJobHandover has passed since their arrival.
func (d *driver) countLostJobs() int {
	lost := 0
	for _, id := range d.jobIDs {
		recorded, ok := d.state.Job(id)
		if ok && recorded.GetEndedUnixMs() != 0 {
			continue
		}
		held := slices.ContainsFunc(d.entryCores, func(e *entryCore) bool { return !e.crashed && e.jobs[id] != nil })
		if !ok || (!held && d.now-d.jobs[id].arrived > maxJobHandover) {
			lost++
		}
	}
	return lost
}
