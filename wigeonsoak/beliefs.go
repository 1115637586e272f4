package wigeonsoak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// fleetPartition is the partition without jobs.
const fleetPartition = "0"

// lostRun is a run that its owner took for lost, by its log.
type lostRun struct {
	at                        time.Time
	node, worker, task, cause string
	number                    uint32
}

// ownership is the begin of an ownership of a partition, by the log of the owner. dropped is the end of it.
type ownership struct {
	at              time.Time
	node, partition string
	epoch           uint64
	dropped         bool
}

// ownerLog is what the logs of the processes say of owners.
type ownerLog struct {
	lostRuns   []lostRun
	ownerships []ownership
}

// checkLostRuns records a violation for each run that its owner took for lost while it went on.
func (s *system) checkLostRuns() {
	var l ownerLog
	for _, p := range s.processes {
		text, err := os.ReadFile(p.output.Name())
		if err != nil {
			s.history.recordViolation("soak: read the log of %s: %v", p.name, err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			l.add(line)
		}
	}
	for _, violation := range s.history.lostWhileRunning(l) {
		s.history.recordViolation("%s", violation)
	}
}

// add adds a line of a log if it is about an owner.
func (l *ownerLog) add(line string) {
	at, err := time.Parse(time.RFC3339Nano, logField(line, "time"))
	if err != nil {
		return
	}
	node := logField(line, "node")
	switch event := logField(line, "event"); event {
	case "run_lost":
		number, err := strconv.ParseUint(logField(line, "run"), 10, 32)
		if err == nil {
			task := logField(line, "job") + "." + logField(line, "task")
			l.lostRuns = append(l.lostRuns, lostRun{at, node, logField(line, "worker"), task, logField(line, "cause"), uint32(number)})
		}
	case "shard_owned", "shard_dropped":
		epoch, err := strconv.ParseUint(logField(line, "epoch"), 10, 64)
		if err == nil {
			l.ownerships = append(l.ownerships, ownership{at, node, logField(line, "partition"), epoch, event == "shard_dropped"})
		}
	}
}

// logField returns the value of a field of a line of key=value pairs; empty if there is none.
func logField(line, key string) string {
	_, rest, found := strings.Cut(" "+line, " "+key+"=")
	if !found {
		return ""
	}
	if quoted, err := strconv.QuotedPrefix(rest); err == nil {
		value, _ := strconv.Unquote(quoted)
		return value
	}
	value, _, _ := strings.Cut(strings.TrimSuffix(rest, "\n"), " ")
	return value
}

// replaced reports whether the node had a partition with jobs at the time that another node owned since. What it still takes for
// granted then has no effect, because the log and the workers refuse it.
func (l ownerLog) replaced(node string, at time.Time) bool {
	own := map[string]uint64{}
	newest := map[string]uint64{}
	for _, o := range l.ownerships {
		if o.at.After(at) || o.partition == fleetPartition {
			continue
		}
		newest[o.partition] = max(newest[o.partition], o.epoch)
		if o.node != node {
			continue
		}
		own[o.partition] = o.epoch
		if o.dropped {
			delete(own, o.partition)
		}
	}
	for partition, epoch := range own {
		if newest[partition] > epoch {
			return true
		}
	}
	return false
}

// lostWhileRunning returns a violation for each run that an owner took for lost while it went on, unless another node had replaced the
// owner or no owner could have prevented the start.
func (h *history) lostWhileRunning(l ownerLog) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	for _, lost := range l.lostRuns {
		for _, r := range h.runs[lost.task] {
			runs := !r.startedAt.After(lost.at) && (r.endedAt.IsZero() || r.endedAt.After(lost.at))
			if !runs || r.worker.id != lost.worker || r.number != lost.number || r.unavoidable || l.replaced(lost.node, lost.at) {
				continue
			}
			found = append(found, fmt.Sprintf("belief: %s took task %s %s for lost at %s: %s", lost.node, lost.task, r, lost.at.UTC().Format(timeFormat), lost.cause))
		}
	}
	return found
}
