package wigeonfake

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// performAction runs an action on a VM and calls OnVMEvent. It rejects an epoch below the fence of the VM and raises
// the fence if the action succeeds. An action returns an empty kind if it changed nothing.
func (p *Platform) performAction(ctx context.Context, client, step string, id wigeonstep.VMID, epoch wigeonstep.VMEpoch, action func(state *VMState) (VMEventKind, error)) error {
	p.mu.Lock()
	event, err := p.performActionLocked(ctx, client, step, id, epoch, action)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	p.notify(event)
	return nil
}

func (p *Platform) performActionLocked(ctx context.Context, client, step string, id wigeonstep.VMID, epoch wigeonstep.VMEpoch, action func(state *VMState) (VMEventKind, error)) (VMEvent, error) {
	if err := p.checkVMsAvailableLocked(ctx, client, step); err != nil {
		return VMEvent{}, err
	}
	state := p.registry.vms[id]
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
	return p.recordVMChangeLocked(state, kind), nil
}

// drainVM marks a VM as draining and leaving. It has no effect on a VM that is draining.
func (p *Platform) drainVM(ctx context.Context, client string, id wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return p.performAction(ctx, client, stepDrainVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if state.Draining {
			return "", nil
		}
		state.Draining, state.Leaving = true, true
		return VMDrained, nil
	})
}

// rebootVM starts a reboot of a VM that is draining or down. A repetition with the epoch of the last reboot has no effect.
func (p *Platform) rebootVM(ctx context.Context, client string, id wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return p.performAction(ctx, client, stepRebootVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if state.Reboots > 0 && state.rebootEpoch == epoch {
			return "", nil
		}
		if state.Up && !state.Draining {
			return "", fmt.Errorf("%w: VM %q is up and not draining", wigeonstep.ErrRejected, id)
		}
		state.Reboots++
		state.rebootEpoch = epoch
		state.Up = false
		state.Lost = p.randomLocked().Float64() < p.faults.RebootLossProbability
		if !state.Lost {
			reboot := state.Reboots
			p.registry.rebootTimers = append(p.registry.rebootTimers, time.AfterFunc(p.faults.rebootTime(), func() { p.completeReboot(state, reboot) }))
		}
		return VMRebooting, nil
	})
}

// completeReboot brings the VM up, unless it has been removed, replaced, stopped or rebooted again since the reboot
// started.
func (p *Platform) completeReboot(state *VMState, reboot int) {
	p.mu.Lock()
	if p.registry.vms[state.ID] != state || state.Reboots != reboot || state.Lost {
		p.mu.Unlock()
		return
	}
	state.Up = true
	event := p.recordVMChangeLocked(state, VMUp)
	p.mu.Unlock()
	p.notify(event)
}

// assignVM assigns a draining VM to a pool and ends the drain. It has no effect on a VM of the pool that is not draining.
func (p *Platform) assignVM(ctx context.Context, client string, id wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.VMEpoch) error {
	return p.performAction(ctx, client, stepAssignVM, id, epoch, func(state *VMState) (VMEventKind, error) {
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

// checkpointVM counts a checkpoint of a VM. A repetition with the epoch of the last checkpoint has no effect.
func (p *Platform) checkpointVM(ctx context.Context, client string, id wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return p.performAction(ctx, client, stepCheckpointVM, id, epoch, func(state *VMState) (VMEventKind, error) {
		if state.Checkpoints > 0 && state.checkpointEpoch == epoch {
			return "", nil
		}
		state.Checkpoints++
		state.checkpointEpoch = epoch
		return VMCheckpointed, nil
	})
}

// ListVMs returns the VM list, which may lag behind the current state, as the client with the empty name. The caller must
// not modify the VMs.
func (p *Platform) ListVMs(ctx context.Context) (wigeonstep.VMList, error) {
	return p.listVMs(ctx, "")
}

// DrainVM starts to drain a VM as the client with the empty name.
func (p *Platform) DrainVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return p.drainVM(ctx, "", vm, epoch)
}

// RebootVM starts a reboot of a draining VM, or of one that is down, as the client with the empty name.
func (p *Platform) RebootVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return p.rebootVM(ctx, "", vm, epoch)
}

// AssignVM assigns a draining VM to a pool as the client with the empty name.
func (p *Platform) AssignVM(ctx context.Context, vm wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.VMEpoch) error {
	return p.assignVM(ctx, "", vm, pool, epoch)
}

// CheckpointVM requests a checkpoint of a VM as the client with the empty name.
func (p *Platform) CheckpointVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return p.checkpointVM(ctx, "", vm, epoch)
}

// ListVMs returns the VM list, which may lag behind the current state, as the named client. The caller must not modify the
// VMs.
func (c *PlatformClient) ListVMs(ctx context.Context) (wigeonstep.VMList, error) {
	return c.platform.listVMs(ctx, c.name)
}

// DrainVM starts to drain a VM as the named client.
func (c *PlatformClient) DrainVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return c.platform.drainVM(ctx, c.name, vm, epoch)
}

// RebootVM starts a reboot of a draining VM, or of one that is down, as the named client.
func (c *PlatformClient) RebootVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return c.platform.rebootVM(ctx, c.name, vm, epoch)
}

// AssignVM assigns a draining VM to a pool as the named client.
func (c *PlatformClient) AssignVM(ctx context.Context, vm wigeonstep.VMID, pool wigeonstep.PoolName, epoch wigeonstep.VMEpoch) error {
	return c.platform.assignVM(ctx, c.name, vm, pool, epoch)
}

// CheckpointVM requests a checkpoint of a VM as the named client.
func (c *PlatformClient) CheckpointVM(ctx context.Context, vm wigeonstep.VMID, epoch wigeonstep.VMEpoch) error {
	return c.platform.checkpointVM(ctx, c.name, vm, epoch)
}
