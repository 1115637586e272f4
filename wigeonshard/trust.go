package wigeonshard

import "time"

const (
	// suspicionSpan is how long a worker that fails everything gets no work.
	suspicionSpan = 3 * time.Second
	// suspicionFailures is the number of failures in a row, of different tasks, that makes a worker suspect.
	suspicionFailures = 3
	// maxSuspectShare bounds the part of a service's workers that may be suspect at once, as one in this many.
	maxSuspectShare = 3
)

// trust is what the results of a worker say about it. The zero value trusts.
type trust struct {
	// failed counts failures in a row.
	failed int
	// until is when the worker may be tried again.
	until time.Duration
}

// done notes a run that ended well.
func (t *trust) done() {
	*t = trust{}
}

// fail notes a run that failed and reports whether the worker became suspect.
func (t *trust) fail(now time.Duration) bool {
	t.failed++
	if t.failed < suspicionFailures {
		return false
	}
	t.until = now + suspicionSpan
	return true
}

// suspect reports whether the worker should get no work.
func (t *trust) suspect(now time.Duration) bool {
	return now < t.until
}
