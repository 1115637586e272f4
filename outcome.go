package wigeonstep

import (
	"net/http"
	"time"
)

// Outcome tells a caller what became of its request.
type Outcome string

const (
	// OutcomeDone means that the whole answer follows.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run and will not be run again.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAccepted means that a job is durably recorded.
	OutcomeAccepted Outcome = "accepted"
)

// Names of the HTTP headers towards callers and backend servers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTeam           = "Wigeonstep-Team"
	HeaderClass          = "Wigeonstep-Class"
	HeaderDeadlineMS     = "Wigeonstep-Deadline-Ms"
	HeaderOutcome        = "Wigeonstep-Outcome"
	HeaderRequestID      = "Wigeonstep-Request-Id"
	HeaderFence          = "Wigeonstep-Fence"
	HeaderLeaving        = "Wigeonstep-Leaving"
)

// Request is one request of a caller, read completely.
type Request struct {
	ID          RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Team        TeamName
	Class       ClassName
	// Key is empty when the caller sent none.
	Key Key
	// Deadline is zero when the caller set none.
	Deadline time.Time
}

// Response is the final answer to a request.
type Response struct {
	Outcome     Outcome
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is set for OutcomeNotRun.
	RetryAfter time.Duration
	// Refusal is nil for OutcomeDone and OutcomeAccepted.
	Refusal *Refusal
}

// Refusal says why a request has no answer. It is the body of an RFC 9457 problem document.
type Refusal struct { //nolint:errname // the value is also the body that callers read
	Reason string `json:"reason"`
	Step   string `json:"step"`
	Peer   string `json:"peer"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Step + " " + r.Peer + ": " + r.Reason
}

// NotRun returns the response to a request that did not run. status is 429 when the team or class is over its limit, otherwise 503.
func NotRun(status int, reason, step, peer string, retryAfter time.Duration) Response {
	return Response{
		Outcome:    OutcomeNotRun,
		Status:     status,
		RetryAfter: retryAfter,
		Refusal:    &Refusal{Reason: reason, Step: step, Peer: peer},
	}
}

// Unknown returns the response to a request that may have run. timeout selects status 504 over 502.
func Unknown(timeout bool, reason, step, peer string) Response {
	status := http.StatusBadGateway
	if timeout {
		status = http.StatusGatewayTimeout
	}
	return Response{
		Outcome: OutcomeUnknown,
		Status:  status,
		Refusal: &Refusal{Reason: reason, Step: step, Peer: peer},
	}
}
