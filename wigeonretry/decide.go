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
	// firstDelay is the longest delay before the second attempt; each further delay may be twice as long.
	firstDelay = 50 * time.Millisecond
)

// Decide says whether a request is sent again after attempt attempts, the last of which ended with result, and after which delay.
// A zero deadline leaves time without bound. The budget is charged only when the answer is yes.
func Decide(policy wigeondocument.RetryPolicy, idempotent bool, attempt int, result wigeonstep.BackendResult,
	now, deadline time.Time, budget *Budget, random *rand.Rand,
) (again bool, delay time.Duration) {
	if policy != wigeondocument.RetrySafe || attempt >= MaxAttempts || !repeatable(idempotent, result) {
		return false, 0
	}
	longest := firstDelay << max(attempt-1, 0)
	delay = longest/2 + time.Duration(random.Int64N(int64(longest/2)))
	if !deadline.IsZero() && !now.Add(delay).Before(deadline) {
		return false, 0
	}
	if !budget.Allow(now) {
		return false, 0
	}
	return true, delay
}

// repeatable reports whether sending the request again cannot make work run twice that must not.
func repeatable(idempotent bool, result wigeonstep.BackendResult) bool {
	switch result.Verdict {
	case wigeonstep.BackendNotSent, wigeonstep.BackendBusy, wigeonstep.BackendLeaving:
		return true
	case wigeonstep.BackendLost:
		return idempotent
	case wigeonstep.BackendWhole:
		return idempotent && serverFault(result.Status)
	default:
		return false
	}
}

// serverFault reports whether another backend server may answer better.
func serverFault(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
