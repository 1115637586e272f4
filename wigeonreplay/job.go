package wigeonreplay

import (
	"fmt"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// job is the truth about one accepted job.
type job struct {
	id        wigeonstep.JobID
	key       routeKey
	route     *route
	text      wigeonstep.Key
	arrived   time.Duration
	run       time.Duration
	cancelled bool
}

// acceptJob records a job on the log; its caller gets the id once the fold has accepted it.
func (d *driver) acceptJob(e *entry, key routeKey, r *route, text wigeonstep.Key, run time.Duration) {
	d.nextJob++
	j := &job{id: wigeonstep.JobID(fmt.Sprintf("job-%d", d.nextJob)), key: key, route: r, text: text, arrived: d.now, run: run}
	life, s := e.life, d.streams[key]
	d.after(d.logDelay(), func() {
		if e.life != life || e.dead {
			s.unknown++
			return
		}
		verdict, ok := d.append(e.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobAccept{JobAccept: &wigeonwire.JobAccept{
			Job: string(j.id), Key: string(text), Service: string(r.document.Service), Team: string(key.team), Class: string(key.class),
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
			if text != "" {
				d.lastKeys[text] = j.id
			}
		}
	})
}

// jobWork returns the work of one attempt of a job.
func (d *driver) jobWork(j *job, attempt uint32) *work {
	w := &work{stream: d.streams[j.key], key: j.key, class: j.route.class, job: j, attempt: attempt, arrived: j.arrived, run: j.run}
	if !j.route.class.Idempotent {
		w.idempotencyKey = wigeonstep.Key("job/" + string(j.id))
	}
	return w
}

// pickUpJobs queues the pending jobs whose home this process is, and drops queued ones whose home is elsewhere.
func (e *entry) pickUpJobs() {
	d := e.driver
	if !d.reaches(e.process) {
		return
	}
	home := map[wigeonstep.JobID]bool{}
	for _, known := range d.state.PendingJobs(e.session) {
		id := wigeonstep.JobID(known.GetAccept().GetJob())
		home[id] = true
		j := d.jobs[id]
		if j == nil || e.jobs[id] != nil {
			continue
		}
		if known.GetState() == wigeonwire.JobState_JOB_STATE_RUNNING {
			if _, open := d.state.OpenSession(wigeonstep.SessionID(known.GetRunner())); open {
				continue
			}
			if !j.route.class.Idempotent {
				d.streams[j.key].unknown++
				d.append(e.process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobEnd{JobEnd: &wigeonwire.JobEnd{
					Job: string(id), Attempt: known.GetAttempt(), Outcome: wigeonwire.Outcome_OUTCOME_UNKNOWN, Reason: "the process that ran the job is gone",
				}}})
				continue
			}
		}
		w := d.jobWork(j, known.GetAttempt()+1)
		e.jobs[id] = w
		w.submit(e, j.route.document.Pool)
	}
	for _, id := range d.jobIDs {
		if w := e.jobs[id]; w != nil && !home[id] && !w.ran && w.sentAt == 0 {
			w.cancel()
		}
	}
}

// cancel takes the work out of the queue of its process.
func (w *work) cancel() {
	w.end()
	_, started := w.pool.admit.Cancel(w.entry.driver.time(), w.ticket)
	w.entry.begin(w.pool, started)
}

// cancelJob asks the log to cancel a job, and its home to drop it from the queue.
func (d *driver) cancelJob(id wigeonstep.JobID) {
	j := d.jobs[id]
	i := slices.IndexFunc(d.entries, func(e *entry) bool { return d.reaches(e.process) })
	if j == nil || i < 0 {
		return
	}
	verdict, ok := d.append(d.entries[i].process, &wigeonwire.Entry{Body: &wigeonwire.Entry_JobCancel{JobCancel: &wigeonwire.JobCancel{Job: string(id), By: "caller"}}})
	if !ok || !verdict.Accepted {
		return
	}
	if known, _ := d.state.Job(id); known.GetState() != wigeonwire.JobState_JOB_STATE_CANCELLED {
		return
	}
	j.cancelled = true
	d.streams[j.key].cancelled++
	for _, e := range d.entries {
		if w := e.jobs[id]; w != nil && e.runs() && !w.ran && w.sentAt == 0 {
			w.cancel()
		}
	}
}

// settleSpan is how long a pending job may have no place in a process, from the loss of its home to its new one.
const settleSpan = 30 * time.Second

// lostJobs returns how many accepted jobs have no end on the log and are in no process's hands.
func (d *driver) lostJobs() int {
	lost := 0
	for _, id := range d.jobIDs {
		known, ok := d.state.Job(id)
		if ok && known.GetEndedUnixMs() != 0 {
			continue
		}
		held := slices.ContainsFunc(d.entries, func(e *entry) bool { return !e.dead && e.jobs[id] != nil })
		if !ok || (!held && d.now-d.jobs[id].arrived > settleSpan) {
			lost++
		}
	}
	return lost
}
