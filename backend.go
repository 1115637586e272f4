package wigeonstep

import "context"

// BackendCall is one attempt to run a request on one backend server.
type BackendCall struct {
	Request *Request
	VM      VMID
	// Address is the host:port of the backend server.
	Address string
	// Epoch is sent with the request. A backend server refuses requests with an older epoch of its VM.
	Epoch VMEpoch
}

// BackendVerdict is the conclusion from an attempt: whether the request ran and whether it has an answer.
type BackendVerdict int

const (
	// BackendAnswered means that the complete answer to the request arrived and is not one of the rejections below. Its status
	// may be an error.
	BackendAnswered BackendVerdict = iota + 1
	// BackendNotSent means that no byte of the request was sent.
	BackendNotSent
	// BackendBusy means that the backend server rejected the request without running it and is not leaving. The rejection
	// is taken as a lack of free capacity.
	BackendBusy
	// BackendLeaving means that the backend server rejected the request without running it because it is shutting down or
	// being drained.
	BackendLeaving
	// BackendOutcomeUnknown means that the request may have run but no complete answer arrived.
	BackendOutcomeUnknown
)

// NotRun reports whether the verdict proves that the request did not run.
func (v BackendVerdict) NotRun() bool {
	return v == BackendNotSent || v == BackendBusy || v == BackendLeaving
}

// BackendResult is the result of one attempt.
type BackendResult struct {
	Verdict BackendVerdict
	// Status is the HTTP status of the answer, or 0 if there is none.
	Status      int
	ContentType string
	Body        []byte
	// Leaving is set when the backend server announced that it accepts no new requests, or answered 503 and closed the
	// connection. It is always set for BackendLeaving and can be set for BackendAnswered.
	Leaving bool
	// TimedOut is set when the attempt failed because its deadline passed.
	TimedOut bool
	// Err is nil for BackendAnswered.
	Err error
}

// Backend sends requests to backend servers.
type Backend interface {
	Call(ctx context.Context, call BackendCall) BackendResult
}
