package wigeonretry

import "time"

const (
	// budgetBuckets is the number of buckets in the window. Eleven buckets of a second always cover the last 10 s, although the
	// current one covers only a part of its second.
	budgetBuckets = 11
	bucketSpan    = time.Second
	// firstsPerRetry is the number of first attempts that permit one retry. It limits the load that retries add to a failing
	// pool to a fifth of the load of the first attempts.
	firstsPerRetry = 5
)

// Budget limits retries to one for every five first attempts of the last 10 s. The caller keeps one Budget for each team and
// pool. The zero value is ready to use.
type Budget struct {
	// firsts and retries count the first attempts and the retries of each second, at the index that bucket returns.
	firsts  [budgetBuckets]int
	retries [budgetBuckets]int
	// last is the newest second of the window, counted from the Unix epoch.
	last int64
	// started is false until the first call, before which last is not valid.
	started bool
}

// CountFirstAttempt counts a first attempt.
func (b *Budget) CountFirstAttempt(now time.Time) {
	b.firsts[b.advance(now)]++
}

// TryRetry reports whether the budget permits a retry now. If so, it counts the retry.
func (b *Budget) TryRetry(now time.Time) bool {
	i := b.advance(now)
	firsts, retries := 0, 0
	for j := range budgetBuckets {
		retries += b.retries[j]
		// The oldest bucket may lie partly outside the last 10 s. Its retries are counted and its first attempts are not, so
		// the budget errs towards fewer retries.
		if j != (i+1)%budgetBuckets {
			firsts += b.firsts[j]
		}
	}
	if (retries+1)*firstsPerRetry > firsts {
		return false
	}
	b.retries[i]++
	return true
}

// advance moves the window up to now, clears the buckets of seconds that it skips or reuses, and returns the index of the
// current bucket. A time before last counts as last.
func (b *Budget) advance(now time.Time) int {
	second := now.UnixNano() / int64(bucketSpan)
	if !b.started {
		b.started, b.last = true, second
	}
	if second-b.last >= budgetBuckets {
		b.firsts, b.retries = [budgetBuckets]int{}, [budgetBuckets]int{}
		b.last = second
	}
	for b.last < second {
		b.last++
		i := bucket(b.last)
		b.firsts[i], b.retries[i] = 0, 0
	}
	return bucket(b.last)
}

// bucket returns the index of the bucket of a second. The second may be negative (before 1970); the index never is.
func bucket(second int64) int {
	return int((second%budgetBuckets + budgetBuckets) % budgetBuckets)
}
