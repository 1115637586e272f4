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

// agentInterval is how often an agent reads the states of its VMs; a reboot of the default 50 ms may be missed.
const agentInterval = 20 * time.Millisecond

// Agent lets the VMs of a PlatformServer in another process act on backend servers of this one.
type Agent struct {
	// Platform is host:port of the PlatformServer.
	Platform string
	// Logger logs what the platform does to the VMs.
	Logger *zap.Logger

	backends map[wigeonstep.VMID]*BackendServer
	vms      map[wigeonstep.VMID]VMState
}

// Add registers a VM whose backend server runs. The VM's address is set to that of the server.
func (a *Agent) Add(ctx context.Context, vm wigeonstep.ListedVM, backend *BackendServer) error {
	vm.Address = backend.Address()
	body, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("encode VM: %w", err)
	}
	if _, err := a.do(ctx, http.MethodPost, "/control/vms", body); err != nil {
		return fmt.Errorf("register VM %q at the platform: %w", vm.ID, err)
	}
	if a.backends == nil {
		a.backends, a.vms = map[wigeonstep.VMID]*BackendServer{}, map[wigeonstep.VMID]VMState{}
	}
	a.backends[vm.ID] = backend
	a.vms[vm.ID] = VMState{ListedVM: vm}
	return nil
}

// Run follows the platform until ctx ends. While the platform is out of reach, the servers stay as they are.
func (a *Agent) Run(ctx context.Context) {
	reachable := true
	for pause(ctx, agentInterval) == nil {
		states, err := a.states(ctx)
		if err != nil {
			if reachable && ctx.Err() == nil {
				a.Logger.Warn("cannot read the VMs of the platform", zap.String("platform", a.Platform), zap.Error(err))
			}
			reachable = false
			continue
		}
		reachable = true
		a.follow(states)
	}
}

func (a *Agent) states(ctx context.Context) (map[wigeonstep.VMID]VMState, error) {
	body, err := a.do(ctx, http.MethodGet, "/control/vms", nil)
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

func (a *Agent) follow(states map[wigeonstep.VMID]VMState) {
	for id, backend := range a.backends {
		before := a.vms[id]
		now, found := states[id]
		now.Up = now.Up && found
		backend.RaiseFence(now.Fence)
		if now.Draining != before.Draining {
			backend.ChangeFaults(func(f *BackendFaults) { f.Leaving = now.Draining })
			a.Logger.Info("the platform changed the drain of a VM", zap.String("vm", string(id)), zap.Bool("draining", now.Draining))
		}
		if rebooted := now.Reboots != before.Reboots; before.Up && (!now.Up || rebooted) {
			backend.Stop()
			a.Logger.Info("a VM went down", zap.String("vm", string(id)), zap.Int("cut_off", backend.Stats().CutOff))
		}
		if err := a.start(id, backend, now, before); err != nil {
			now.Up = false
			a.Logger.Error("cannot start a backend server", zap.String("vm", string(id)), zap.Error(err))
		}
		a.vms[id] = now
	}
}

func (a *Agent) start(id wigeonstep.VMID, backend *BackendServer, now, before VMState) error {
	if !now.Up || before.Up && now.Reboots == before.Reboots {
		return nil
	}
	if err := backend.Start(""); err != nil {
		return err
	}
	a.Logger.Info("a VM came up", zap.String("vm", string(id)), zap.String("address", backend.Address()))
	return nil
}

func (a *Agent) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
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
