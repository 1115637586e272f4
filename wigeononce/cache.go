package wigeononce

import (
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	stepOnce  = "run key once"
	peerOwner = "owner of the key"
	// entryOverhead is the memory of a kept answer besides its body and key, in bytes.
	entryOverhead = 512
)

func unknown(reason string) wigeonstep.Response {
	return wigeonstep.Unknown(false, reason, stepOnce, peerOwner)
}

func logOutOfReach() wigeonstep.Response {
	return wigeonstep.NotRun(http.StatusServiceUnavailable, "the log does not take the record of the key", "append intent", "platform log", time.Second)
}

// reusedKey answers a key that comes with another request than before. The outcome is unknown and not not_run, because the key itself may have run.
func reusedKey() wigeonstep.Response {
	r := unknown("the idempotency key was used before with another request; this request did not run")
	r.Status = http.StatusUnprocessableEntity
	return r
}

// keptAnswers holds the ended runs, the oldest first.
type keptAnswers struct {
	runs  []keptAnswer
	first int
	bytes int
}

type keptAnswer struct {
	run   *run
	until time.Time
	size  int
}

func (k *keptAnswers) add(r *run, until time.Time) {
	size := entryOverhead + len(r.key) + len(r.response.Body)
	k.runs = append(k.runs, keptAnswer{run: r, until: until, size: size})
	k.bytes += size
}

// removeOldest removes and returns the oldest run when its time is over or the answers take more than limit bytes.
func (k *keptAnswers) removeOldest(now time.Time, limit int) *run {
	if k.first == len(k.runs) {
		k.runs, k.first = k.runs[:0], 0
		return nil
	}
	oldest := k.runs[k.first]
	if now.Before(oldest.until) && k.bytes <= limit {
		return nil
	}
	k.runs[k.first] = keptAnswer{}
	k.first++
	k.bytes -= oldest.size
	if k.first > 1024 && k.first > len(k.runs)/2 {
		k.runs = append(k.runs[:0], k.runs[k.first:]...)
		k.first = 0
	}
	return oldest.run
}

// issuedKeys holds the keys that the process issued and that no request has used.
type issuedKeys struct {
	unused map[wigeonstep.Key]struct{}
	// order holds the issued keys, the oldest first, used ones included.
	order []issuedAt
	first int
	last  uint64
}

type issuedAt struct {
	key   wigeonstep.Key
	until time.Time
}

// use takes the key; false when it was used or has run out.
func (i *issuedKeys) use(key wigeonstep.Key) bool {
	_, ok := i.unused[key]
	delete(i.unused, key)
	return ok
}

// giveBack lets a later request use the key, after a request that certainly did not run.
func (i *issuedKeys) giveBack(key wigeonstep.Key) { i.unused[key] = struct{}{} }

func (i *issuedKeys) expire(now time.Time) {
	for i.first < len(i.order) && !now.Before(i.order[i.first].until) {
		delete(i.unused, i.order[i.first].key)
		i.order[i.first] = issuedAt{}
		i.first++
	}
	if i.first > 1024 && i.first > len(i.order)/2 {
		i.order = append(i.order[:0], i.order[i.first:]...)
		i.first = 0
	}
}

// Issue returns new keys that name the process's session; nil when the process has no session or too many keys are unused.
// random returns unpredictable bits, so that no caller guesses a key of another.
func (c *Core) Issue(now time.Time, count int, random func() uint64) []wigeonstep.Key {
	c.expire(now)
	if c.current == 0 || len(c.issued.unused)+count > c.limits.Issued || len(c.issued.order)-c.issued.first+count > 2*c.limits.Issued {
		return nil
	}
	keys := make([]wigeonstep.Key, 0, count)
	for range count {
		c.issued.last++
		key := issuedKey(c.current, c.issued.last, random())
		c.issued.unused[key] = struct{}{}
		c.issued.order = append(c.issued.order, issuedAt{key: key, until: now.Add(c.limits.IssuedFor)})
		keys = append(keys, key)
	}
	return keys
}
