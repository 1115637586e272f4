package wigeonfake

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// act runs one action on a VM, after the check of its epoch. An action that returns an empty kind changed nothing.
func (p *Platform) act(ctx context.Context, client, step string, id wigeonstep.VMID, epoch wigeonstep.Epoch, action func(state *VMState) (VMEventKind, error)) error {
	p.mu.Lock()
	event, err := p.actLocked(ctx, client, step, id, epoch, action)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	p.notify(event)
	return nil
}

func (p *Platform) actLocked(ctx context.Context, client, step string, id wigeonstep.VMID, epoch wigeonstep.Epoch, action func(state *VMState) (VMEventKind, error)) (VMEvent, error) {
	if err := p.reachVMsLocked(ctx, client, step); err != nil {
		return VMEvent{}, err
	}
	state := p.fleet.vms[id]
	if state == nil {
		return VMEvent{}, stepError(step, fmt.Errorf("%w: VM %q does not exist", wigeonstep.ErrRejected, id))
	}
	if epoch < state.Fence {
		return VMEvent{}, stepError(step, fmt.Errorf("%w: epoch %d of VM %q is below its fence %d", wigeonstep.ErrRejected, epoch, id, state.Fence))
	}
	kind, err := action(state)
	if err != nil {
		return VMEvent{}, stepError(step, err)
	}
	state.Fence = epoch
	if kind == "" {
		return VMEvent{}, nil
	}
	return p.changedVMLocked(state, kind), nil
}

func (p *Platform) drainVM(ctx context.Context, client string, id wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return p.act(ctx, client, stepDrainVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if state.Draining {
			return "", nil
		}
		state.Draining, state.Leaving = true, true
		return VMDrained, nil
	})
}

func (p *Platform) rebootVM(ctx context.Context, client string, id wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return p.act(ctx, client, stepRebootVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if state.Reboots > 0 && state.rebootEpoch == epoch {
			return "", nil
		}
		if state.Up && !state.Draining {
			return "", fmt.Errorf("%w: VM %q is up and not draining", wigeonstep.ErrRejected, id)
		}
		state.Reboots++
		state.rebootEpoch = epoch
		state.Up = false
		state.Lost = p.randomLocked().Float64() < p.faults.NeverBack
		if !state.Lost {
			reboot := state.Reboots
			p.fleet.timers = append(p.fleet.timers, time.AfterFunc(p.faults.rebootTime(), func() { p.endReboot(state, reboot) }))
		}
		return VMRebooting, nil
	})
}

// endReboot brings the VM up, unless it was removed, replaced or rebooted again meanwhile.
func (p *Platform) endReboot(state *VMState, reboot int) {
	p.mu.Lock()
	if p.fleet.vms[state.ID] != state || state.Reboots != reboot || state.Lost {
		p.mu.Unlock()
		return
	}
	state.Up = true
	event := p.changedVMLocked(state, VMUp)
	p.mu.Unlock()
	p.notify(event)
}

func (p *Platform) assignVM(ctx context.Context, client string, id wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.Epoch) error {
	return p.act(ctx, client, stepAssignVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if pool == "" {
			return "", fmt.Errorf("%w: no pool is named", wigeonstep.ErrRejected)
		}
		if state.Pool != pool && !state.Draining {
			return "", fmt.Errorf("%w: VM %q of pool %q is not drained", wigeonstep.ErrRejected, id, state.Pool)
		}
		if state.Pool == pool && !state.Draining {
			return "", nil
		}
		state.Pool, state.Draining, state.Leaving = pool, false, false
		p.addPoolLocked(pool)
		return VMAssigned, nil
	})
}

func (p *Platform) checkpointVM(ctx context.Context, client string, id wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return p.act(ctx, client, stepCheckpointVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if state.Checkpoints > 0 && state.checkpointEpoch == epoch {
			return "", nil
		}
		state.Checkpoints++
		state.checkpointEpoch = epoch
		return VMCheckpointed, nil
	})
}

// ListVMs implements wigeonstep.Platform. The caller must not change the list.
func (p *Platform) ListVMs(ctx context.Context) (wigeonstep.VMList, error) {
	return p.listVMs(ctx, "")
}

// DrainVM implements wigeonstep.Platform.
func (p *Platform) DrainVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return p.drainVM(ctx, "", vm, epoch)
}

// RebootVM implements wigeonstep.Platform.
func (p *Platform) RebootVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return p.rebootVM(ctx, "", vm, epoch)
}

// AssignVM implements wigeonstep.Platform.
func (p *Platform) AssignVM(ctx context.Context, vm wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.Epoch) error {
	return p.assignVM(ctx, "", vm, pool, epoch)
}

// CheckpointVM implements wigeonstep.Platform.
func (p *Platform) CheckpointVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return p.checkpointVM(ctx, "", vm, epoch)
}

// ListVMs implements wigeonstep.Platform. The caller must not change the list.
func (c *PlatformClient) ListVMs(ctx context.Context) (wigeonstep.VMList, error) {
	return c.platform.listVMs(ctx, c.name)
}

// DrainVM implements wigeonstep.Platform.
func (c *PlatformClient) DrainVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return c.platform.drainVM(ctx, c.name, vm, epoch)
}

// RebootVM implements wigeonstep.Platform.
func (c *PlatformClient) RebootVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return c.platform.rebootVM(ctx, c.name, vm, epoch)
}

// AssignVM implements wigeonstep.Platform.
func (c *PlatformClient) AssignVM(ctx context.Context, vm wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.Epoch) error {
	return c.platform.assignVM(ctx, c.name, vm, pool, epoch)
}

// CheckpointVM implements wigeonstep.Platform.
func (c *PlatformClient) CheckpointVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.Epoch) error {
	return c.platform.checkpointVM(ctx, c.name, vm, epoch)
}
