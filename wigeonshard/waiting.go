package wigeonshard

import (
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// longWait is the time for which a long-running task may wait for a worker before the owner reports it.
	longWait = time.Second
	// longWaitReportInterval is the time between two reports about the same waiting task.
	longWaitReportInterval = 3 * time.Second
)

// reportLongWaits records why the tasks of long-running candidates have no run, once they have waited for longWait.
func (o *Owner) reportLongWaits(now Timestamp, longRunning []candidate) {
	for _, c := range longRunning {
		for _, t := range c.step.tasks {
			if len(t.runs) == 0 && !t.givenUp && now.Steady-t.waitingSince >= longWait && now.Steady >= t.nextWaitReportAt {
				o.reportLongWait(now, t)
			}
		}
	}
}

func (o *Owner) reportLongWait(now Timestamp, t *task) {
	t.nextWaitReportAt = now.Steady + longWaitReportInterval
	cause := t.step.waitsForLimit()
	if cause == "" {
		cause = o.suitability(now, t.step).String()
	}
	decision := Decision{Event: "task_waiting", Cause: cause, Age: now.Steady - t.waitingSince}
	decision.Run = wigeonstep.RunID{Task: t.id, Number: t.lastRun}
	o.out.Decisions = append(o.out.Decisions, decision)
}

// poolSuitability counts the workers of a service by the reason why they can't run a task of a step now. Of the suitable ones
// there is no such reason.
type poolSuitability struct {
	workers, leaving, notAnswering, unlabelled, full int
	// saturated counts the workers that have MaxPerWorker tasks of the step.
	saturated int
	// suspect counts the workers that get no new run for a while after failures, refusals or slow progress.
	suspect  int
	suitable int
}

// suitability counts the workers of the step's service that can run one of its tasks, and the others by the first reason
// why they can't.
func (o *Owner) suitability(now Timestamp, s *step) poolSuitability {
	var p poolSuitability
	for _, w := range o.sortedWorkers {
		if w.Service != s.job.Service || !w.listed {
			continue
		}
		p.workers++
		switch {
		case w.leaving():
			p.leaving++
		case !w.usable():
			p.notAnswering++
		case s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel):
			p.unlabelled++
		case !w.free().Covers(s.Reserved()):
			p.full++
		case s.MaxPerWorker > 0 && w.countTasks(s) >= s.MaxPerWorker:
			p.saturated++
		case w.backoff.active(now.Steady):
			p.suspect++
		default:
			p.suitable++
		}
	}
	return p
}

func (p poolSuitability) String() string {
	return fmt.Sprintf("of %d workers %d leave, %d do not answer, %d lack the label, %d lack room, %d hold enough of its step, %d are suspect, %d suit",
		p.workers, p.leaving, p.notAnswering, p.unlabelled, p.full, p.saturated, p.suspect, p.suitable)
}
