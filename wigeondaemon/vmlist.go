package wigeondaemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

// listVMs requests a VM list and puts it in force when it has arrived.
func (d *Daemon) listVMs(sh *shard, now time.Duration) {
	d.fleet.listInFlight = true
	ctx := sh.ctx
	go func() {
		vms, err := d.config.Machines.ListPooledVMs(ctx)
		d.post(func() {
			if ctx.Err() != nil {
				return
			}
			f := &d.fleet
			f.listInFlight, f.lastList = false, now
			if err != nil {
				d.config.Logger.Warn("vm_list_failed", zap.Error(err))
				return
			}
			f.applyList(now, vms)
		})
	}()
}

// applyList puts a VM list in force that was requested at the given time. A VM whose move or maintenance was confirmed later stays
// as it is known, because the list may have been made before. The others are taken from the list, since there is hardly a list
// during which no VM moves in a large fleet.
func (f *fleet) applyList(requested time.Duration, listed []wigeonstep.PooledVM) {
	vms := make(map[wigeonstep.VMID]wigeonstep.PooledVM, len(listed))
	for _, vm := range listed {
		vms[vm.ID] = vm
	}
	for id, at := range f.confirmedAt {
		known, present := f.vms[id]
		switch {
		case at <= requested || !present:
			delete(f.confirmedAt, id)
		default:
			vms[id] = known
		}
	}
	f.losses.applyList(requested, listed)
	f.vms, f.listedAt = vms, requested
}

// showConfirmed shows a change of a VM that the platform has confirmed until a later list does.
func (f *fleet) showConfirmed(now time.Duration, id wigeonstep.VMID, change func(*wigeonstep.PooledVM)) {
	vm, present := f.vms[id]
	if !present {
		return
	}
	change(&vm)
	f.vms[id], f.confirmedAt[id] = vm, now
}
