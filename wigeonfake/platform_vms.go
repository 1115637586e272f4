package wigeonfake

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
)

const (
	stepListVMs      = "vm list"
	stepDrainVM      = "vm drain"
	stepRebootVM     = "vm reboot"
	stepAssignVM     = "vm assign"
	stepCheckpointVM = "vm checkpoint"
)

// VMEventKind says what happened to a VM.
type VMEventKind string

// The kinds of VMEvent.
const (
	VMDrained      VMEventKind = "drain"
	VMRebooting    VMEventKind = "reboot"
	VMUp           VMEventKind = "up"
	VMDown         VMEventKind = "down"
	VMAssigned     VMEventKind = "assign"
	VMCheckpointed VMEventKind = "checkpoint"
	VMRemoved      VMEventKind = "remove"
)

// VMEvent is one change of a VM.
type VMEvent struct {
	Kind VMEventKind
	VM   VMState
}

// VMState is what the platform knows of a VM, without any lag.
type VMState struct {
	wigeonstep.ListedVM
	// Draining is set by DrainVM and cleared by AssignVM.
	Draining bool `json:"draining"`
	// Fence is the highest epoch that a call carried; calls below it are rejected.
	Fence wigeonstep.Epoch `json:"fence"`
	// Reboots counts the reboots that began.
	Reboots int `json:"reboots"`
	// Checkpoints counts the checkpoints that were asked for.
	Checkpoints int `json:"checkpoints"`
	// Lost is set when the VM did not come back from its last reboot.
	Lost bool `json:"lost"`

	rebootEpoch     wigeonstep.Epoch
	checkpointEpoch wigeonstep.Epoch
}

// fleet holds the VMs and the changes that the lagging list does not show yet.
type fleet struct {
	vms      map[wigeonstep.VMID]*VMState
	pools    []wigeonstep.PoolName
	pending  []listChange
	frozenAt time.Time
	timers   []*time.Timer

	// listed is what the list shows; changedIn holds for each id, also of removed VMs, the version that last changed it.
	listed    map[wigeonstep.VMID]wigeonstep.ListedVM
	changedIn map[wigeonstep.VMID]uint64
	version   uint64

	// whole is listed, sorted by id, as of wholeAt; it is shared with callers and never changed.
	whole   []wigeonstep.ListedVM
	wholeAt uint64
}

type listChange struct {
	at      time.Time
	vm      wigeonstep.ListedVM
	removed bool
}

// show applies the changes that the list with its lag shows by now.
func (f *fleet) show(now time.Time, faults Faults) {
	if faults.ListStale {
		return
	}
	if f.listed == nil {
		f.listed = map[wigeonstep.VMID]wigeonstep.ListedVM{}
		f.changedIn = map[wigeonstep.VMID]uint64{}
	}
	shown := 0
	for _, c := range f.pending {
		if now.Sub(c.at) < faults.ListLag {
			break
		}
		f.version++
		f.changedIn[c.vm.ID] = f.version
		if c.removed {
			delete(f.listed, c.vm.ID)
		} else {
			f.listed[c.vm.ID] = c.vm
		}
		shown++
	}
	f.pending = f.pending[shown:]
}

// list returns what the list shows, sorted by id.
func (f *fleet) list() []wigeonstep.ListedVM {
	if f.wholeAt != f.version || f.whole == nil {
		f.whole = make([]wigeonstep.ListedVM, 0, len(f.listed))
		for _, id := range slices.Sorted(maps.Keys(f.listed)) {
			f.whole = append(f.whole, f.listed[id])
		}
		f.wholeAt = f.version
	}
	return f.whole
}

// since returns the VMs whose entries changed after the version, and the ids of those that the list no longer shows.
func (f *fleet) since(version uint64) (vms []wigeonstep.ListedVM, removed []wigeonstep.VMID) {
	if version == f.version {
		return nil, nil
	}
	var ids []wigeonstep.VMID
	for id, changed := range f.changedIn {
		if changed > version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if vm, listed := f.listed[id]; listed {
			vms = append(vms, vm)
		} else {
			removed = append(removed, id)
		}
	}
	return vms, removed
}

// AddVM adds a VM, or replaces it with a fresh one. The VM is up.
func (p *Platform) AddVM(vm wigeonstep.ListedVM) {
	p.mu.Lock()
	if p.fleet.vms == nil {
		p.fleet.vms = map[wigeonstep.VMID]*VMState{}
	}
	if vm.Pool == "" {
		vm.Pool = wigeonstep.SparePool
	}
	vm.Up = true
	state := &VMState{ListedVM: vm}
	p.fleet.vms[vm.ID] = state
	p.addPoolLocked(vm.Pool)
	event := p.changedVMLocked(state, VMUp)
	p.mu.Unlock()
	p.notify(event)
}

// AddPool makes the platform list a pool that may have no VM.
func (p *Platform) AddPool(pool wigeonstep.PoolName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addPoolLocked(pool)
}

func (p *Platform) addPoolLocked(pool wigeonstep.PoolName) {
	if at, found := slices.BinarySearch(p.fleet.pools, pool); !found {
		p.fleet.pools = slices.Insert(p.fleet.pools, at, pool)
	}
}

// RemoveVM takes a VM out of the fleet. It reports whether the VM existed.
func (p *Platform) RemoveVM(id wigeonstep.VMID) bool {
	p.mu.Lock()
	state := p.fleet.vms[id]
	if state == nil {
		p.mu.Unlock()
		return false
	}
	delete(p.fleet.vms, id)
	p.fleet.pending = append(p.fleet.pending, listChange{at: p.now(), vm: state.ListedVM, removed: true})
	event := VMEvent{Kind: VMRemoved, VM: *state}
	p.mu.Unlock()
	p.notify(event)
	return true
}

// SetVMUp stops a VM as a failure does, or starts it again. It reports whether the VM exists.
func (p *Platform) SetVMUp(id wigeonstep.VMID, up bool) bool {
	return p.changeVM(id, func(state *VMState) VMEventKind {
		state.Up, state.Lost = up, !up
		if up {
			return VMUp
		}
		return VMDown
	})
}

// SetVMLeaving states whether the platform announces that the VM leaves. It reports whether the VM exists.
func (p *Platform) SetVMLeaving(id wigeonstep.VMID, leaving bool) bool {
	return p.changeVM(id, func(state *VMState) VMEventKind {
		state.Leaving = leaving
		return VMUp
	})
}

// VM returns the true state of a VM.
func (p *Platform) VM(id wigeonstep.VMID) (VMState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.fleet.vms[id]
	if state == nil {
		return VMState{}, false
	}
	return *state, true
}

// VMs returns the true states of all VMs, sorted by id.
func (p *Platform) VMs() []VMState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]VMState, 0, len(p.fleet.vms))
	for _, id := range slices.Sorted(maps.Keys(p.fleet.vms)) {
		states = append(states, *p.fleet.vms[id])
	}
	return states
}

// Reboots returns how many reboots of the VM began.
func (p *Platform) Reboots(id wigeonstep.VMID) int {
	state, _ := p.VM(id)
	return state.Reboots
}

// Close stops the reboots under way. VMs that reboot stay down.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.fleet.timers {
		t.Stop()
	}
	p.fleet.timers = nil
}

func (p *Platform) changeVM(id wigeonstep.VMID, change func(state *VMState) VMEventKind) bool {
	p.mu.Lock()
	state := p.fleet.vms[id]
	if state == nil {
		p.mu.Unlock()
		return false
	}
	event := p.changedVMLocked(state, change(state))
	p.mu.Unlock()
	p.notify(event)
	return true
}

func (p *Platform) changedVMLocked(state *VMState, kind VMEventKind) VMEvent {
	p.fleet.pending = append(p.fleet.pending, listChange{at: p.now(), vm: state.ListedVM})
	p.fleet.show(p.now(), p.faults)
	return VMEvent{Kind: kind, VM: *state}
}

func (p *Platform) notify(event VMEvent) {
	if p.OnVM != nil && event.Kind != "" {
		p.OnVM(event)
	}
}

func (p *Platform) reachVMsLocked(ctx context.Context, client, step string) error {
	switch {
	case ctx.Err() != nil:
		return stepError(step, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err()))
	case p.cut[client]:
		return stepError(step, fmt.Errorf("%w: client %q", errCutOff, client))
	case p.faults.VMsDown:
		return stepError(step, fmt.Errorf("%w: the VM service is down", wigeonstep.ErrUnavailable))
	}
	return nil
}

// listVMs returns the list; its VMs are shared between calls.
func (p *Platform) listVMs(ctx context.Context, client string) (wigeonstep.VMList, error) {
	changes, err := p.listChanges(ctx, client, "")
	if err != nil {
		return wigeonstep.VMList{}, err
	}
	return wigeonstep.VMList{VMs: changes.VMs, Pools: changes.Pools, Age: changes.Age}, nil
}

// listChanges returns the changes of the list since the token, or the whole list when the token is not of this platform.
func (p *Platform) listChanges(ctx context.Context, client, since string) (wigeonplatform.VMChanges, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.reachVMsLocked(ctx, client, stepListVMs); err != nil {
		return wigeonplatform.VMChanges{}, err
	}
	changes := wigeonplatform.VMChanges{Age: p.faults.ListLag}
	if p.faults.ListEmpty {
		changes.Full = true
		return changes, nil
	}
	p.fleet.show(p.now(), p.faults)
	if p.faults.ListStale {
		changes.Age += p.now().Sub(p.fleet.frozenAt)
	}
	changes.Pools = slices.Clone(p.fleet.pools)
	changes.Token = p.tokenLocked(p.fleet.version)
	if version, known := p.versionLocked(since); known {
		changes.VMs, changes.Removed = p.fleet.since(version)
	} else {
		changes.Full, changes.VMs = true, p.fleet.list()
	}
	return changes, nil
}

// versionLocked returns the version that a token of this platform names.
func (p *Platform) versionLocked(token string) (version uint64, known bool) {
	prefix, number, found := strings.Cut(token, "-")
	if !found || prefix != strconv.FormatInt(p.startedLocked(), 36) {
		return 0, false
	}
	version, err := strconv.ParseUint(number, 10, 64)
	return version, err == nil && version <= p.fleet.version
}

// tokenLocked names a version of the list; it differs between platforms, so that a token does not outlive a restart.
func (p *Platform) tokenLocked(version uint64) string {
	return strconv.FormatInt(p.startedLocked(), 36) + "-" + strconv.FormatUint(version, 10)
}

func (p *Platform) startedLocked() int64 {
	if p.started == 0 {
		p.started = time.Now().UnixNano()
	}
	return p.started
}
