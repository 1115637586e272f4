package wigeonfake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

// agentPollInterval is the interval at which an agent reads the states of its VMs. Reboots that end between two reads, such
// as those of the default 50 ms on a busy machine, are recognized by their count only.
const agentPollInterval = 20 * time.Millisecond

// Agent makes the backend servers of this process follow the states of their VMs at a PlatformServer in another process.
type Agent struct {
	// Platform is the host:port of the PlatformServer.
	Platform string
	// Logger logs the state changes of the VMs. It must not be nil.
	Logger *zap.Logger

	backends map[wigeonstep.VMID]*BackendServer
	// lastStates holds the states that were applied last.
	lastStates map[wigeonstep.VMID]VMState
}

// Add registers a VM at the platform, with the address of its backend server, which must be running.
func (a *Agent) Add(ctx context.Context, vm wigeonstep.ListedVM, backend *BackendServer) error {
	vm.Address = backend.Address()
	body, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("encode VM: %w", err)
	}
	if _, err := a.callPlatform(ctx, http.MethodPost, "/control/vms", body); err != nil {
		return fmt.Errorf("register VM %q at the platform: %w", vm.ID, err)
	}
	if a.backends == nil {
		a.backends, a.lastStates = map[wigeonstep.VMID]*BackendServer{}, map[wigeonstep.VMID]VMState{}
	}
	a.backends[vm.ID] = backend
	a.lastStates[vm.ID] = VMState{ListedVM: vm}
	return nil
}

// Run applies the VM states of the platform to the backend servers until ctx ends. While the platform cannot be read, the
// servers keep their states.
func (a *Agent) Run(ctx context.Context) {
	reachable := true
	for sleepContext(ctx, agentPollInterval) == nil {
		states, err := a.fetchStates(ctx)
		if err != nil {
			if reachable && ctx.Err() == nil {
				a.Logger.Warn("reading VM states from the platform failed; backend servers keep their states", zap.String("platform", a.Platform), zap.Error(err))
			}
			reachable = false
			continue
		}
		reachable = true
		a.applyStates(states)
	}
}

func (a *Agent) fetchStates(ctx context.Context) (map[wigeonstep.VMID]VMState, error) {
	body, err := a.callPlatform(ctx, http.MethodGet, "/control/vms", nil)
	if err != nil {
		return nil, err
	}
	var list []VMState
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decode VMs: %w", err)
	}
	states := make(map[wigeonstep.VMID]VMState, len(list))
	for _, state := range list {
		states[state.ID] = state
	}
	return states, nil
}

// applyStates changes the backend servers according to the new states. A VM that the platform no longer has counts as down.
func (a *Agent) applyStates(states map[wigeonstep.VMID]VMState) {
	for id, backend := range a.backends {
		before := a.lastStates[id]
		now, found := states[id]
		now.Up = now.Up && found
		backend.RaiseFence(now.Fence)
		if now.Draining != before.Draining {
			backend.ChangeFaults(func(f *BackendFaults) { f.Leaving = now.Draining })
			a.Logger.Info("drain state of a VM changed", zap.String("vm", string(id)), zap.Bool("draining", now.Draining))
		}
		if rebooted := now.Reboots != before.Reboots; before.Up && (!now.Up || rebooted) {
			backend.Stop()
			a.Logger.Info("a VM went down; its backend server is stopped", zap.String("vm", string(id)), zap.Int("cut_off", backend.Stats().CutOff))
		}
		if err := a.startIfUp(id, backend, now, before); err != nil {
			now.Up = false
			a.Logger.Error("starting a backend server failed", zap.String("vm", string(id)), zap.Error(err))
		}
		a.lastStates[id] = now
	}
}

// startIfUp starts the backend server if its VM came up or was rebooted since the last state.
func (a *Agent) startIfUp(id wigeonstep.VMID, backend *BackendServer, now, before VMState) error {
	if !now.Up || before.Up && now.Reboots == before.Reboots {
		return nil
	}
	if err := backend.Start(""); err != nil {
		return err
	}
	a.Logger.Info("a VM came up", zap.String("vm", string(id)), zap.String("address", backend.Address()))
	return nil
}

// callPlatform calls the control endpoint of the platform and returns the response body. A status of 400 or above is an
// error.
func (a *Agent) callPlatform(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.Platform+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close() //nolint:errcheck // the body is only read
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return answer, nil
}
