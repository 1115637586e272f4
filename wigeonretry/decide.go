package wigeonretry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
)

const (
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts = 3
	// maxFirstDelay bounds the delay before the second attempt from above; the delay is random, at least half of the bound. The
	// bound doubles with each further attempt.
	maxFirstDelay = 50 * time.Millisecond
)

// Decide reports whether to retry a request and the jittered delay before the next attempt. attempt is the number of attempts
// so far, and result is the result of the last one. A retry that could not be sent before the deadline is not made; a zero
// deadline sets no bound. Only a retry that Decide grants is charged to the budget.
func Decide(policy wigeondocument.RetryPolicy, idempotent bool, attempt int, result wigeonstep.BackendResult,
	now, deadline time.Time, budget *Budget, random *rand.Rand,
) (again bool, delay time.Duration) {
	if policy != wigeondocument.RetrySafe || attempt >= MaxAttempts || !repeatable(idempotent, result) {
		return false, 0
	}
	maxDelay := maxFirstDelay << max(attempt-1, 0)
	delay = maxDelay/2 + time.Duration(random.Int64N(int64(maxDelay/2)))
	if !deadline.IsZero() && !now.Add(delay).Before(deadline) {
		return false, 0
	}
	if !budget.TryRetry(now) {
		return false, 0
	}
	return true, delay
}

// repeatable reports whether a retry is safe and useful: the request did not run, or it is idempotent and either its answer was
// lost or the answer is an error that another backend server may not have.
func repeatable(idempotent bool, result wigeonstep.BackendResult) bool {
	switch result.Verdict {
	case wigeonstep.BackendNotSent, wigeonstep.BackendBusy, wigeonstep.BackendLeaving:
		return true
	case wigeonstep.BackendOutcomeUnknown:
		return idempotent
	case wigeonstep.BackendAnswered:
		return idempotent && retryableStatus(result.Status)
	default:
		return false
	}
}

// retryableStatus reports whether the status is a server error that another backend server may not return.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
