package wigeondemo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// awaitVersion polls the status of the entry processes until all of them have the version of the verdict, or a newer one,
// in force. It gives up after twice inForceBound.
func (r *runner) awaitVersion(ctx context.Context, verdict wigeonoperator.Verdict) error {
	ctx, cancel := context.WithTimeout(ctx, 2*inForceBound)
	defer cancel()
	client := &wigeonpeer.Client{}
	defer func() { _ = client.Close() }()
	for _, address := range r.fleet.peerAddresses {
		for {
			version, err := versionInForce(ctx, client, address, verdict.Service)
			if err == nil && version >= verdict.Version {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("version %d of %s is not in force at %s: %w", verdict.Version, verdict.Service, address, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// versionInForce returns the version of the service's document that the entry process at the address has in force, or zero
// if it has none.
func versionInForce(ctx context.Context, client *wigeonpeer.Client, address string, service wigeonstep.ServiceName) (wigeonstep.DocumentVersion, error) {
	request := &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: wigeonoperator.StatusView}}}
	response, err := client.Call(ctx, address, request)
	if err != nil {
		return 0, err
	}
	var status wigeonoperator.Status
	if err := json.Unmarshal(response.GetStatus().GetJson(), &status); err != nil {
		return 0, fmt.Errorf("decode status of %s: %w", address, err)
	}
	for _, s := range status.Services {
		if s.Name == service {
			return s.Version, nil
		}
	}
	return 0, nil
}
