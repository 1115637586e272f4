package wigeoncontrol

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonpool"
)

type actionResult struct {
	action wigeonpool.Action
	err    error
}

// startAction starts a call to the platform, or a probe, unless the same action is pending or waits for its retry
// delay, or the bound on pending actions or on their rate is reached.
func (d *daemon) startAction(ctx context.Context, action wigeonpool.Action, now time.Time) {
	if d.pendingActions[action] || len(d.pendingActions) >= maxPendingActions || !d.actionRetries.allowed(action, now) || !d.callLimiter.AllowN(now, 1) {
		return
	}
	d.pendingActions[action] = true
	d.goroutines.Go(func() {
		call, cancel := context.WithTimeout(ctx, d.config.CallTimeout)
		defer cancel()
		err := d.execute(call, action)
		select {
		case d.actionResults <- actionResult{action: action, err: err}:
		case <-ctx.Done():
		}
	})
}

// execute makes the call or the probe if the VM still has the action's epoch in the newest view. The epoch can change
// between this check and a call; the platform therefore refuses epochs below the highest it has seen.
func (d *daemon) execute(ctx context.Context, action wigeonpool.Action) error {
	vm := d.config.Follower.View().VMs[action.VM]
	if vm == nil || vm.Epoch != action.Epoch {
		return fmt.Errorf("%s of VM %s: the VM is unknown or no longer at epoch %d: %w", action.Kind, action.VM, action.Epoch, wigeonstep.ErrRejected)
	}
	switch action.Kind {
	case wigeonpool.ActionDrain:
		return d.config.Platform.DrainVM(ctx, action.VM, action.Epoch)
	case wigeonpool.ActionReboot:
		return d.config.Platform.RebootVM(ctx, action.VM, action.Epoch)
	case wigeonpool.ActionAssign:
		return d.config.Platform.AssignVM(ctx, action.VM, action.Pool, action.Epoch)
	case wigeonpool.ActionCheckpoint:
		return d.config.Platform.CheckpointVM(ctx, action.VM, action.Epoch)
	case wigeonpool.ActionProbe:
		return d.config.Probe(ctx, vm.Address)
	}
	return fmt.Errorf("%s of VM %s: unknown kind of action: %w", action.Kind, action.VM, wigeonstep.ErrRejected)
}

func (d *daemon) handleActionResult(r actionResult) {
	delete(d.pendingActions, r.action)
	d.metrics.countAction(r.action.Kind, r.err)
	if r.err == nil {
		d.actionRetries.recordSuccess(r.action)
		d.confirmed[r.action] = time.Now()
		return
	}
	wait := d.actionRetries.recordFailure(r.action, time.Now())
	d.config.Logger.Warn("platform call failed", zap.String("action", string(r.action.Kind)), zap.String("vm", string(r.action.VM)),
		zap.Uint64("epoch", uint64(r.action.Epoch)), zap.Error(r.err), zap.Duration("retry_in", wait))
}
