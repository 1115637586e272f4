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

// vmList is the last list that the platform sent. It is asked only for the changes since then, because the whole list
// of 7,300 VMs is about 1.8 MB and a daemon has 17 KB/s.
type vmList struct {
	// turn has room for one, so that changes are applied in the order of the calls.
	turn   chan struct{}
	token  string
	byID   map[wigeonstep.VMID]wigeonstep.ListedVM
	sorted []wigeonstep.ListedVM // never changed once it was returned
}

// ListVMs implements wigeonstep.Platform. The VMs are sorted by id. The caller must not change the list.
func (c *Client) ListVMs(ctx context.Context) (wigeonstep.VMList, error) {
	select {
	case c.list.turn <- struct{}{}:
		defer func() { <-c.list.turn }()
	case <-ctx.Done():
		return wigeonstep.VMList{}, c.failed(call{step: stepListVMs}, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err()))
	}
	call := call{step: stepListVMs, method: http.MethodGet, path: PathVMs + "?" + url.Values{"since": {c.list.token}}.Encode()}
	body, err := c.do(ctx, call)
	if err != nil {
		return wigeonstep.VMList{}, err
	}
	var changes VMChanges
	if err := json.Unmarshal(body, &changes); err != nil {
		return wigeonstep.VMList{}, c.failed(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	vms, err := c.list.apply(changes)
	if err != nil {
		return wigeonstep.VMList{}, c.failed(call, err)
	}
	return wigeonstep.VMList{VMs: vms, Pools: changes.Pools, Age: changes.Age}, nil
}

// apply applies the changes to the list that the call asked for.
func (l *vmList) apply(changes VMChanges) ([]wigeonstep.ListedVM, error) {
	if changes.Full {
		l.byID = make(map[wigeonstep.VMID]wigeonstep.ListedVM, len(changes.VMs))
		l.sorted = nil
	}
	if l.byID == nil {
		return nil, fmt.Errorf("%w: the platform sent changes to a list that it never sent", wigeonstep.ErrUnavailable)
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

// DrainVM implements wigeonstep.Platform.
func (c *Client) DrainVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return c.act(ctx, ActionDrain, VMRequest{VM: vm, Epoch: epoch})
}

// RebootVM implements wigeonstep.Platform.
func (c *Client) RebootVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return c.act(ctx, ActionReboot, VMRequest{VM: vm, Epoch: epoch})
}

// AssignVM implements wigeonstep.Platform.
func (c *Client) AssignVM(ctx context.Context, vm wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.Epoch) error {
	return c.act(ctx, ActionAssign, VMRequest{VM: vm, Epoch: epoch, Pool: pool})
}

// CheckpointVM implements wigeonstep.Platform.
func (c *Client) CheckpointVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return c.act(ctx, ActionCheckpoint, VMRequest{VM: vm, Epoch: epoch})
}

func (c *Client) act(ctx context.Context, action VMAction, request VMRequest) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	_, err = c.do(ctx, call{step: "vm " + string(action), method: http.MethodPost, path: PathVMs + "/" + string(action), body: body, changes: true})
	return err
}
