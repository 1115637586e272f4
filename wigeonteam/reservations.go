package wigeonteam

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	// reservationLifetime is the least time for which a reservation holds, unless there are more than maxReservations. It exceeds
	// the time in which a client's request writes the record of a job and the owner of the partition reads it.
	reservationLifetime = 10 * time.Second
	// maxReservations bounds the reservations of one generation; two generations are kept.
	maxReservations = 1 << 14
)

// Reservations holds the ids of jobs that processes are about to write, each with the team that submits the job. The zero value is
// empty and ready to use. It is not safe for concurrent use.
type Reservations struct {
	newer, older map[wigeonstep.JobID]wigeonstep.TeamName
	// since is the time at which newer was begun.
	since time.Duration
}

// Reserve reserves the id for a team, which is empty for a call without one. If another team has reserved it, that
// reservation stays; holder is the team that has it.
func (r *Reservations) Reserve(now time.Duration, id wigeonstep.JobID, team wigeonstep.TeamName) (holder wigeonstep.TeamName, reserved bool) {
	if r.newer == nil || now-r.since > reservationLifetime || len(r.newer) >= maxReservations {
		r.older = r.newer
		if now-r.since > 2*reservationLifetime {
			r.older = nil
		}
		r.newer, r.since = map[wigeonstep.JobID]wigeonstep.TeamName{}, now
	}
	for _, generation := range []map[wigeonstep.JobID]wigeonstep.TeamName{r.newer, r.older} {
		if holder, held := generation[id]; held && holder != team {
			return holder, false
		}
	}
	r.newer[id] = team
	return team, true
}
