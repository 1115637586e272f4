package wigeononce

import (
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	stepOnce  = "run key once"
	peerOwner = "owner of the key"
	// entryOverhead is the memory of a cached answer besides its body and key, in bytes.
	entryOverhead = 512
)

func unknownResponse(reason string) wigeonstep.Response {
	return wigeonstep.UnknownResponse(false, reason, stepOnce, peerOwner)
}

func logUnavailableResponse() wigeonstep.Response {
	return wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "the log does not take the record of the key", "append intent", "platform log", time.Second)
}

// reusedKeyResponse is the response to a request whose key was used with a different request before. Its outcome is
// unknown rather than not_run, because the key may have run with that earlier request.
func reusedKeyResponse() wigeonstep.Response {
	r := unknownResponse("the idempotency key was used before with another request; this request did not run")
	r.Status = http.StatusUnprocessableEntity
	return r
}

// answerCache holds the ended runs, oldest first.
type answerCache struct {
	runs []cachedAnswer
	// head is the index of the oldest run in runs.
	head  int
	bytes int
}

type cachedAnswer struct {
	run     *run
	expires time.Time
	size    int
}

func (ac *answerCache) add(r *run, expires time.Time) {
	size := entryOverhead + len(r.key) + len(r.response.Body)
	ac.runs = append(ac.runs, cachedAnswer{run: r, expires: expires, size: size})
	ac.bytes += size
}

// removeOldest removes and returns the oldest run if it has expired or the answers take more than limit bytes;
// otherwise nil.
func (ac *answerCache) removeOldest(now time.Time, limit int) *run {
	if ac.head == len(ac.runs) {
		ac.runs, ac.head = ac.runs[:0], 0
		return nil
	}
	oldest := ac.runs[ac.head]
	if now.Before(oldest.expires) && ac.bytes <= limit {
		return nil
	}
	ac.runs[ac.head] = cachedAnswer{}
	ac.head++
	ac.bytes -= oldest.size
	if ac.head > 1024 && ac.head > len(ac.runs)/2 {
		ac.runs = append(ac.runs[:0], ac.runs[ac.head:]...)
		ac.head = 0
	}
	return oldest.run
}

// issuedKeys holds the keys that this process issued and that no request has used.
type issuedKeys struct {
	unused map[wigeonstep.IdempotencyKey]struct{}
	// order holds the issued keys, oldest first, including used ones until they expire.
	order []issuedEntry
	// head is the index of the oldest key in order.
	head       int
	lastSerial uint64
}

type issuedEntry struct {
	key     wigeonstep.IdempotencyKey
	expires time.Time
}

// claim marks the key as used and reports whether it was issued, unused and not expired.
func (i *issuedKeys) claim(key wigeonstep.IdempotencyKey) bool {
	_, ok := i.unused[key]
	delete(i.unused, key)
	return ok
}

// restore marks the key as unused again after a request that did not run.
func (i *issuedKeys) restore(key wigeonstep.IdempotencyKey) { i.unused[key] = struct{}{} }

func (i *issuedKeys) expire(now time.Time) {
	for i.head < len(i.order) && !now.Before(i.order[i.head].expires) {
		delete(i.unused, i.order[i.head].key)
		i.order[i.head] = issuedEntry{}
		i.head++
	}
	if i.head > 1024 && i.head > len(i.order)/2 {
		i.order = append(i.order[:0], i.order[i.head:]...)
		i.head = 0
	}
}

// Issue returns new keys that contain the id of the current session; nil when the process has no session or too many
// issued keys are held. random returns unpredictable bits, so that no caller can guess the key of another.
func (c *Core) Issue(now time.Time, count int, random func() uint64) []wigeonstep.IdempotencyKey {
	c.expire(now)
	if c.currentSession == 0 || len(c.issued.unused)+count > c.limits.MaxIssuedKeys || len(c.issued.order)-c.issued.head+count > 2*c.limits.MaxIssuedKeys {
		return nil
	}
	keys := make([]wigeonstep.IdempotencyKey, 0, count)
	for range count {
		c.issued.lastSerial++
		key := issuedKey(c.currentSession, c.issued.lastSerial, random())
		c.issued.unused[key] = struct{}{}
		c.issued.order = append(c.issued.order, issuedEntry{key: key, expires: now.Add(c.limits.IssuedKeyTTL)})
		keys = append(keys, key)
	}
	return keys
}
