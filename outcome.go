package wigeonstep

import (
	"net/http"
	"time"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

const (
	// OutcomeDone means that the request ran and the response holds its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run and will not be run again.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAccepted means that the request was durably recorded as a job.
	OutcomeAccepted Outcome = "accepted"
)

// Names of the HTTP headers exchanged with callers and backend servers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTeam           = "Wigeonstep-Team"
	HeaderClass          = "Wigeonstep-Class"
	HeaderDeadlineMS     = "Wigeonstep-Deadline-Ms"
	HeaderOutcome        = "Wigeonstep-Outcome"
	HeaderRequestID      = "Wigeonstep-Request-Id"
	// HeaderFence carries the VMEpoch in a request to a backend server.
	HeaderFence = "Wigeonstep-Fence"
	// HeaderLeaving is "1" in a response of a backend server that accepts no new requests.
	HeaderLeaving = "Wigeonstep-Leaving"
)

// Request is one request of a caller, with its complete body.
type Request struct {
	ID          RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Team        TeamName
	Class       ClassName
	// Key is empty if the caller sent no idempotency key.
	Key IdempotencyKey
	// Deadline is zero if the caller set none.
	Deadline time.Time
}

// Response is the final answer to a request.
type Response struct {
	Outcome     Outcome
	Status      int
	ContentType string
	Body        []byte
	// RetryAfter is the delay after which the caller may retry. It is only set for OutcomeNotRun; 0 means no advice.
	RetryAfter time.Duration
	// Refusal is nil for OutcomeDone and OutcomeAccepted.
	Refusal *Refusal
}

// Refusal describes why a request did not run (OutcomeNotRun) or why its outcome is unknown (OutcomeUnknown). Callers
// receive it in the body of an RFC 9457 problem document.
type Refusal struct { //nolint:errname // the value is also the body that callers read
	Reason string `json:"reason"`
	// Step is the operation that failed.
	Step string `json:"step"`
	// Peer is the process, server or service at which Step failed.
	Peer string `json:"peer"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.Step + " " + r.Peer + ": " + r.Reason
}

// NotRunResponse returns the response to a request that did not run. status is the HTTP status: 429 if the team or
// class exceeds its limit, 503 for a temporary failure, or another one that fits the reason.
func NotRunResponse(status int, reason, step, peer string, retryAfter time.Duration) Response {
	return Response{
		Outcome:    OutcomeNotRun,
		Status:     status,
		RetryAfter: retryAfter,
		Refusal:    &Refusal{Reason: reason, Step: step, Peer: peer},
	}
}

// UnknownResponse returns the response to a request that may have run. Its HTTP status is 504 if timeout is true,
// otherwise 502.
func UnknownResponse(timeout bool, reason, step, peer string) Response {
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
