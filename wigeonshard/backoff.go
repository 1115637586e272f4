package wigeonshard

import "time"

const (
	// suspectDuration is the time for which a worker with suspectFailures failures in a row, or with a stalled run, gets
	// no new runs.
	suspectDuration = 3 * time.Second
	// suspectFailures is the number of failed runs in a row that makes a worker suspect.
	suspectFailures = 3
	// maxSuspectShare limits the workers that are left out of placement as suspect to one in maxSuspectShare.
	maxSuspectShare = 3
)

// workerBackoff pauses new runs on a worker after failures, refusals or slow progress. The zero value allows new runs.
type workerBackoff struct {
	// failuresInRow counts the failed runs since the last run that was done.
	failuresInRow int
	// until is the end of the pause.
	until time.Duration
}

// recordSuccess ends the pause and resets the count after a run that was done.
func (b *workerBackoff) recordSuccess() {
	*b = workerBackoff{}
}

// recordFailure counts a failed run and reports whether the worker is suspect now.
func (b *workerBackoff) recordFailure(now time.Duration) bool {
	b.failuresInRow++
	if b.failuresInRow < suspectFailures {
		return false
	}
	b.until = now + suspectDuration
	return true
}

// active reports whether the worker should get no new runs.
func (b *workerBackoff) active(now time.Duration) bool {
	return now < b.until
}
