package wigeonadmission_test

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonadmission"
	"github.com/wigeonstep/wigeonstep/wigeonrouting"
)

// fifo is a baseline admission policy: one first-in-first-out queue without classes, and slots that are split equally.
// If declaredRun is set, it refuses requests whose wait, estimated from that run time, exceeds 4.7 s; otherwise it
// never refuses.
type fifo struct {
	declaredRun time.Duration
	slots       int
	held        int
	queue       []*wigeonadmission.Ticket
}

func (q *fifo) SetSlots(grant wigeonadmission.Grant) { q.slots = grant.Slots }

func (q *fifo) Submit(_ time.Time, t *wigeonadmission.Ticket) wigeonadmission.Decision {
	if q.held < q.slots {
		q.held++
		return wigeonadmission.Decision{Verdict: wigeonadmission.Started}
	}
	wait := time.Duration(len(q.queue)+1) * q.declaredRun / time.Duration(max(q.slots, 1))
	if wait > 4700*time.Millisecond {
		return wigeonadmission.Decision{Verdict: wigeonadmission.Refused, RetryAfter: time.Second}
	}
	q.queue = append(q.queue, t)
	return wigeonadmission.Decision{Verdict: wigeonadmission.Queued}
}

func (q *fifo) Finish(now time.Time, _ *wigeonadmission.Ticket, _ time.Duration) []*wigeonadmission.Ticket {
	q.held--
	return q.Dispatch(now)
}

func (q *fifo) Dispatch(time.Time) []*wigeonadmission.Ticket {
	n := min(max(q.slots-q.held, 0), len(q.queue))
	started := q.queue[:n]
	q.queue = q.queue[n:]
	q.held += n
	return started
}

func (q *fifo) Expire(time.Time) []*wigeonadmission.Ticket { return nil }

func (q *fifo) Demand(time.Time) wigeonadmission.Demand {
	return wigeonadmission.Demand{Held: q.held, Wanted: q.held + len(q.queue)}
}

func (q *fifo) ExpectedRun(wigeonstep.TeamName, wigeonstep.ClassName) time.Duration {
	return q.declaredRun
}

// leastLoaded is a baseline routing policy: it picks the server with the fewest requests in flight from the same
// process, up to a fixed limit per server.
type leastLoaded struct {
	limit    int
	servers  []wigeonrouting.Server
	inFlight map[wigeonstep.VMID]int
}

func (l *leastLoaded) SetServers(_ time.Time, servers []wigeonrouting.Server) { l.servers = servers }
func (l *leastLoaded) SetShare([]wigeonrouting.SlotRange, int)                {}

func (l *leastLoaded) Pick(time.Time, wigeonrouting.PickOptions) (wigeonrouting.Server, bool) {
	var best wigeonrouting.Server
	found := false
	for _, s := range l.servers {
		if l.inFlight[s.VM] < l.limit && (!found || l.inFlight[s.VM] < l.inFlight[best.VM]) {
			best, found = s, true
		}
	}
	if found {
		l.inFlight[best.VM]++
	}
	return best, found
}

func (l *leastLoaded) Done(_ time.Time, vm wigeonstep.VMID, _ wigeonstep.BackendResult, _, _ time.Duration) {
	l.inFlight[vm]--
}

func newFIFO() admitter { return &fifo{} }

func newLeastLoaded() router { return &leastLoaded{limit: 64, inFlight: map[wigeonstep.VMID]int{}} }
