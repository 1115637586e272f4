package wigeonentry

import (
	"context"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Process is one traffic process. It implements PeerHandler.
type Process struct {
	config Config
}

// New returns a process that Run starts.
func New(config Config) (*Process, error) {
	if err := config.fill(); err != nil {
		return nil, err
	}
	return &Process{config: config}, nil
}

// Run takes requests until ctx ends, then stops gracefully; it returns nil after a graceful stop that cut off no request.
func (p *Process) Run(ctx context.Context) error { return nil }

// Ready reports whether the process takes requests; it is false from the begin of a stop on.
func (p *Process) Ready() bool { return false }

// BusyVMs returns the VMs that are out of service and on which requests of this process are in flight.
// It first applies the newest view, so no request picked later goes to a VM that the view has out of service.
func (p *Process) BusyVMs() []wigeonstep.VMID { return nil }

// HandlePeer answers forwarded requests, queries for answers and demand reports of other traffic processes.
func (p *Process) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	return &wigeonwire.PeerResponse{}
}
