package wigeonretry

import "time"

const (
	// budgetBuckets are the parts of the budget's window. Eleven parts of a second always cover the last 10 s.
	budgetBuckets = 11
	bucketSpan    = time.Second
	// firstsPerRetry makes a failing pool see at most a fifth more load.
	firstsPerRetry = 5
)

// Budget allows one retry for every five first attempts of the last 10 s. The zero value is ready. Keep one for each team and pool.
type Budget struct {
	// firsts and retries count by second; index is the second modulo the length.
	firsts  [budgetBuckets]int
	retries [budgetBuckets]int
	// last is the newest second that has been counted.
	last int64
	// started is false until the first call.
	started bool
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.firsts[b.advance(now)]++
}

// Allow reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	i := b.advance(now)
	firsts, retries := 0, 0
	for j := range budgetBuckets {
		retries += b.retries[j]
		// Leaving out the oldest part of the first attempts, and counting all retries, errs on the side of less load.
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

// advance clears the parts that have passed out of the window and returns the index of the current one.
// A time before the newest one counts as the newest.
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

// bucket returns the index of a second, also of one before 1970.
func bucket(second int64) int {
	return int((second%budgetBuckets + budgetBuckets) % budgetBuckets)
}
