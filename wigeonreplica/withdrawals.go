package wigeonreplica

import (
	"cmp"
	"slices"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
)

// withdrawals holds the withdrawals of a partition. The zero value is empty and ready to use.
type withdrawals struct {
	byKey map[string]wigeonjob.Withdrawal
	// keys holds the keys of the withdrawals of each job, and counts the number of those of each team.
	keys   map[wigeonstep.JobID][]string
	counts map[wigeonstep.TeamName]int
}

func (s *withdrawals) add(w wigeonjob.Withdrawal) {
	if s.byKey == nil {
		s.byKey = map[string]wigeonjob.Withdrawal{}
		s.keys = map[wigeonstep.JobID][]string{}
		s.counts = map[wigeonstep.TeamName]int{}
	}
	key := w.Key()
	s.remove(key)
	s.byKey[key] = w
	s.keys[w.Job] = append(s.keys[w.Job], key)
	s.counts[w.Team]++
}

func (s *withdrawals) remove(key string) {
	w, known := s.byKey[key]
	if !known {
		return
	}
	delete(s.byKey, key)
	s.keys[w.Job] = slices.DeleteFunc(s.keys[w.Job], func(other string) bool { return other == key })
	if len(s.keys[w.Job]) == 0 {
		delete(s.keys, w.Job)
	}
	if s.counts[w.Team]--; s.counts[w.Team] == 0 {
		delete(s.counts, w.Team)
	}
}

// covers reports whether a withdrawal cancels the job.
func (s *withdrawals) covers(job *wigeonjob.Job) bool {
	return slices.ContainsFunc(s.keys[job.ID], func(key string) bool {
		w := s.byKey[key]
		return wigeonteam.Caller{Team: w.Team, PublicQueue: w.PublicQueue}.MayAccess(job.Team, job.Queue)
	})
}

// applyWithdrawal cancels a job that was submitted while it was withdrawn.
func (r *Replica) applyWithdrawal(value []byte) error {
	w, err := wigeonjob.DecodeWithdrawal(value)
	if err != nil {
		return err
	}
	r.withdrawals.add(w)
	e := r.jobs[w.Job]
	r.addPending(e, -1)
	r.cancelWithdrawn(e)
	r.addPending(e, 1)
	return nil
}

// cancelWithdrawn cancels the job of the entry if a withdrawal covers it.
func (r *Replica) cancelWithdrawn(e *JobEntry) {
	if e != nil && e.Job != nil && r.withdrawals.covers(e.Job) {
		e.Cancelled = true
	}
}

// Withdrawn reports whether a withdrawal cancels the job, should it be submitted.
func (r *Replica) Withdrawn(job *wigeonjob.Job) bool { return r.withdrawals.covers(job) }

// CountWithdrawals returns the number of withdrawals of a team, and of all.
func (r *Replica) CountWithdrawals(team wigeonstep.TeamName) (ofTeam, all int) {
	return r.withdrawals.counts[team], len(r.withdrawals.byKey)
}

// ExpiredWithdrawals returns the keys of the first limit withdrawals that were made before the given time, the oldest first, without
// those whose job has not ended yet: a process that starts later has to find the job cancelled.
func (r *Replica) ExpiredWithdrawals(before wigeonstep.UnixMillis, limit int) []string {
	var expired []string
	for key, w := range r.withdrawals.byKey {
		if e := r.Find(w.Job); w.At < before && (e == nil || e.Progress.State.Terminal()) {
			expired = append(expired, key)
		}
	}
	slices.SortFunc(expired, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.withdrawals.byKey[a].At, r.withdrawals.byKey[b].At), cmp.Compare(a, b))
	})
	return expired[:min(len(expired), limit)]
}
