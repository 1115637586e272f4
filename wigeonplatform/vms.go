package wigeonplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

const stepListVMs = "vm list"

// vmList is the client's copy of the VM list. Each call requests only the changes since the last one, because the
// complete list of 7,300 VMs is about 1.8 MB and the bandwidth of a daemon is limited to 17 KB/s.
type vmList struct {
	// updating is a semaphore of capacity 1, so that one call at a time requests and applies changes.
	updating chan struct{}
	token    string
	byID     map[wigeonstep.VMID]wigeonstep.ListedVM
	// sorted holds the VMs of byID by ID. It is replaced on a change and never modified, because callers hold it.
	sorted []wigeonstep.ListedVM
}

// ListVMs returns the VM list, sorted by ID. Calls without a change between them return the same slice, so the caller
// must not modify it.
func (c *Client) ListVMs(ctx context.Context) (wigeonstep.VMList, error) {
	select {
	case c.list.updating <- struct{}{}:
		defer func() { <-c.list.updating }()
	case <-ctx.Done():
		return wigeonstep.VMList{}, c.stepError(call{step: stepListVMs}, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err()))
	}
	call := call{step: stepListVMs, method: http.MethodGet, path: PathVMs + "?" + url.Values{"since": {c.list.token}}.Encode()}
	body, err := c.do(ctx, call)
	if err != nil {
		return wigeonstep.VMList{}, err
	}
	var changes VMChanges
	if err := json.Unmarshal(body, &changes); err != nil {
		return wigeonstep.VMList{}, c.stepError(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	vms, err := c.list.applyChanges(changes)
	if err != nil {
		return wigeonstep.VMList{}, c.stepError(call, err)
	}
	return wigeonstep.VMList{VMs: vms, Pools: changes.Pools, Age: changes.Age}, nil
}

// applyChanges applies the changes to the copy of the list and returns its VMs sorted by ID.
func (l *vmList) applyChanges(changes VMChanges) ([]wigeonstep.ListedVM, error) {
	if changes.Full {
		l.byID = make(map[wigeonstep.VMID]wigeonstep.ListedVM, len(changes.VMs))
		l.sorted = nil
	}
	if l.byID == nil {
		return nil, fmt.Errorf("%w: the platform sent changes before it sent a full VM list", wigeonstep.ErrUnavailable)
	}
	for _, vm := range changes.VMs {
		l.byID[vm.ID] = vm
	}
	for _, id := range changes.Removed {
		delete(l.byID, id)
	}
	if changes.Full || len(changes.VMs)+len(changes.Removed) > 0 {
		l.sorted = make([]wigeonstep.ListedVM, 0, len(l.byID))
		for _, id := range slices.Sorted(maps.Keys(l.byID)) {
			l.sorted = append(l.sorted, l.byID[id])
		}
	}
	l.token = changes.Token
	return l.sorted, nil
}

// DrainVM tells the platform that the VM gets no new work. It is idempotent.
func (c *Client) DrainVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return c.performAction(ctx, ActionDrain, VMRequest{VM: vm, Epoch: epoch})
}

// RebootVM reboots a drained VM. A repeated call with the same epoch has no effect.
func (c *Client) RebootVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return c.performAction(ctx, ActionReboot, VMRequest{VM: vm, Epoch: epoch})
}

// AssignVM assigns a drained VM to a pool and raises the fence of its worker to epoch.
func (c *Client) AssignVM(ctx context.Context, vm wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.VMEpoch) error {
	return c.performAction(ctx, ActionAssign, VMRequest{VM: vm, Epoch: epoch, Pool: pool})
}

// CheckpointVM asks the tasks of the VM to save a checkpoint and stop.
func (c *Client) CheckpointVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return c.performAction(ctx, ActionCheckpoint, VMRequest{VM: vm, Epoch: epoch})
}

// performAction sends an action on a VM to the platform.
func (c *Client) performAction(ctx context.Context, action VMAction, request VMRequest) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode the request body: %w", err)
	}
	_, err = c.do(ctx, call{step: "vm " + string(action), method: http.MethodPost, path: PathVMs + "/" + string(action), body: body, mutates: true})
	return err
}
