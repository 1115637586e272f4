package wigeonstep

import "context"

// BackendCall is one attempt of a request at one backend server.
type BackendCall struct {
	Request *Request
	VM      VMID
	// Address is host:port of the backend server.
	Address string
	Epoch   Epoch
}

// BackendVerdict says what an attempt proved.
type BackendVerdict int

const (
	// BackendWhole means that the whole answer arrived and belongs to the request.
	BackendWhole BackendVerdict = iota + 1
	// BackendNotSent means that nothing of the request left this process.
	BackendNotSent
	// BackendBusy means that the backend server said that it did not run the request, for want of room.
	BackendBusy
	// BackendLeaving means that the backend server said that it did not run the request, because it is leaving.
	BackendLeaving
	// BackendLost means that the request may have run and that no whole answer arrived.
	BackendLost
)

// NotRun reports whether the attempt proved that the request did not run.
func (v BackendVerdict) NotRun() bool {
	return v == BackendNotSent || v == BackendBusy || v == BackendLeaving
}

// BackendResult is the result of one attempt.
type BackendResult struct {
	Verdict     BackendVerdict
	Status      int
	ContentType string
	Body        []byte
	// Leaving is set when the backend server announced that it takes no new work, whatever the verdict.
	Leaving bool
	// TimedOut is set when the deadline ended the attempt.
	TimedOut bool
	// Err is nil for BackendWhole.
	Err error
}

// Backend sends requests to backend servers.
type Backend interface {
	Call(ctx context.Context, call BackendCall) BackendResult
}
