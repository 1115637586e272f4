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

// VMEventKind is the kind of a change of a VM.
type VMEventKind string

// The kinds of VMEvent. SetVMLeaving, which changes only ListedVM.Leaving, also causes a VMUp event.
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
	// VM is the state after the change, or the last state of a removed VM.
	VM VMState
}

// VMState is the current state of a VM, without the lag of the VM list.
type VMState struct {
	wigeonstep.ListedVM
	// Draining is set by DrainVM and cleared by AssignVM.
	Draining bool `json:"draining"`
	// Fence is the highest epoch of an accepted call. Calls with a lower epoch are rejected.
	Fence wigeonstep.VMEpoch `json:"fence"`
	// Reboots counts the reboots that were started.
	Reboots int `json:"reboots"`
	// Checkpoints counts the requested checkpoints; a repetition with the same epoch is not counted again.
	Checkpoints int `json:"checkpoints"`
	// Lost is set when the VM did not come up after its last reboot, or was stopped by SetVMUp.
	Lost bool `json:"lost"`

	// rebootEpoch and checkpointEpoch are the epochs of the last reboot and the last checkpoint.
	rebootEpoch     wigeonstep.VMEpoch
	checkpointEpoch wigeonstep.VMEpoch
}

// vmRegistry holds the current state of the VMs and the VM list, which may lag behind it.
type vmRegistry struct {
	vms   map[wigeonstep.VMID]*VMState
	pools []wigeonstep.PoolName // sorted
	// pending holds the changes that the list does not contain yet, in order of time.
	pending []listChange
	// frozenAt is the time at which Faults.VMListFrozen was last set.
	frozenAt     time.Time
	rebootTimers []*time.Timer

	// listed holds the VMs on the list. changedInVersion holds the list version of the last change of each VM, including
	// removed ones.
	listed           map[wigeonstep.VMID]wigeonstep.ListedVM
	changedInVersion map[wigeonstep.VMID]uint64
	version          uint64

	// fullList is the content of listed, sorted by ID, at fullListVersion. Callers share it, so it is never modified.
	fullList        []wigeonstep.ListedVM
	fullListVersion uint64
}

// listChange is a change of one VM on the list.
type listChange struct {
	at      time.Time
	vm      wigeonstep.ListedVM
	removed bool
}

// applyPending applies to the list the pending changes that are at least as old as the lag. It does nothing while
// the list is stale.
func (r *vmRegistry) applyPending(now time.Time, faults Faults) {
	if faults.VMListFrozen {
		return
	}
	if r.listed == nil {
		r.listed = map[wigeonstep.VMID]wigeonstep.ListedVM{}
		r.changedInVersion = map[wigeonstep.VMID]uint64{}
	}
	applied := 0
	for _, c := range r.pending {
		if now.Sub(c.at) < faults.VMListLag {
			break
		}
		r.version++
		r.changedInVersion[c.vm.ID] = r.version
		if c.removed {
			delete(r.listed, c.vm.ID)
		} else {
			r.listed[c.vm.ID] = c.vm
		}
		applied++
	}
	r.pending = r.pending[applied:]
}

// sortedList returns the VMs on the list, sorted by ID. The result is shared and must not be modified.
func (r *vmRegistry) sortedList() []wigeonstep.ListedVM {
	if r.fullListVersion != r.version || r.fullList == nil {
		r.fullList = make([]wigeonstep.ListedVM, 0, len(r.listed))
		for _, id := range slices.Sorted(maps.Keys(r.listed)) {
			r.fullList = append(r.fullList, r.listed[id])
		}
		r.fullListVersion = r.version
	}
	return r.fullList
}

// changesSince returns the VMs that changed on the list after the version, and the IDs of those that were removed.
func (r *vmRegistry) changesSince(version uint64) (vms []wigeonstep.ListedVM, removed []wigeonstep.VMID) {
	if version == r.version {
		return nil, nil
	}
	var ids []wigeonstep.VMID
	for id, changed := range r.changedInVersion {
		if changed > version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		if vm, listed := r.listed[id]; listed {
			vms = append(vms, vm)
		} else {
			removed = append(removed, id)
		}
	}
	return vms, removed
}

// AddVM adds a VM that is up, or replaces the one with the same ID by a new one. A VM without a pool joins the spare pool.
func (p *Platform) AddVM(vm wigeonstep.ListedVM) {
	p.mu.Lock()
	if p.registry.vms == nil {
		p.registry.vms = map[wigeonstep.VMID]*VMState{}
	}
	if vm.Pool == "" {
		vm.Pool = wigeonstep.SparePool
	}
	vm.Up = true
	state := &VMState{ListedVM: vm}
	p.registry.vms[vm.ID] = state
	p.addPoolLocked(vm.Pool)
	event := p.recordVMChangeLocked(state, VMUp)
	p.mu.Unlock()
	p.notify(event)
}

// AddPool adds a pool to the list of pools. The pool may be empty.
func (p *Platform) AddPool(pool wigeonstep.PoolName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addPoolLocked(pool)
}

func (p *Platform) addPoolLocked(pool wigeonstep.PoolName) {
	if index, found := slices.BinarySearch(p.registry.pools, pool); !found {
		p.registry.pools = slices.Insert(p.registry.pools, index, pool)
	}
}

// RemoveVM removes a VM. It reports whether the VM existed.
func (p *Platform) RemoveVM(id wigeonstep.VMID) bool {
	p.mu.Lock()
	state := p.registry.vms[id]
	if state == nil {
		p.mu.Unlock()
		return false
	}
	delete(p.registry.vms, id)
	p.registry.pending = append(p.registry.pending, listChange{at: p.now(), vm: state.ListedVM, removed: true})
	event := VMEvent{Kind: VMRemoved, VM: *state}
	p.mu.Unlock()
	p.notify(event)
	return true
}

// SetVMUp stops a VM as a failure does if up is false, and starts it otherwise. It reports whether the VM exists.
func (p *Platform) SetVMUp(id wigeonstep.VMID, up bool) bool {
	return p.changeVM(id, func(state *VMState) VMEventKind {
		state.Up, state.Lost = up, !up
		if up {
			return VMUp
		}
		return VMDown
	})
}

// SetVMLeaving sets whether the platform announces that the VM is leaving. It reports whether the VM exists.
func (p *Platform) SetVMLeaving(id wigeonstep.VMID, leaving bool) bool {
	return p.changeVM(id, func(state *VMState) VMEventKind {
		state.Leaving = leaving
		return VMUp
	})
}

// VM returns the current state of a VM, and whether the VM exists.
func (p *Platform) VM(id wigeonstep.VMID) (VMState, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.registry.vms[id]
	if state == nil {
		return VMState{}, false
	}
	return *state, true
}

// VMs returns the current states of all VMs, sorted by ID.
func (p *Platform) VMs() []VMState {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]VMState, 0, len(p.registry.vms))
	for _, id := range slices.Sorted(maps.Keys(p.registry.vms)) {
		states = append(states, *p.registry.vms[id])
	}
	return states
}

// Reboots returns the number of reboots of the VM that were started, or 0 for an unknown VM.
func (p *Platform) Reboots(id wigeonstep.VMID) int {
	state, _ := p.VM(id)
	return state.Reboots
}

// Close cancels the reboots in progress. Their VMs stay down.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.registry.rebootTimers {
		t.Stop()
	}
	p.registry.rebootTimers = nil
}

// changeVM applies a change to a VM and calls OnVMEvent. It reports whether the VM exists.
func (p *Platform) changeVM(id wigeonstep.VMID, change func(state *VMState) VMEventKind) bool {
	p.mu.Lock()
	state := p.registry.vms[id]
	if state == nil {
		p.mu.Unlock()
		return false
	}
	event := p.recordVMChangeLocked(state, change(state))
	p.mu.Unlock()
	p.notify(event)
	return true
}

// recordVMChangeLocked adds the state of the VM to the pending changes of the list, applies those that are due, and
// returns the event for notify.
func (p *Platform) recordVMChangeLocked(state *VMState, kind VMEventKind) VMEvent {
	p.registry.pending = append(p.registry.pending, listChange{at: p.now(), vm: state.ListedVM})
	p.registry.applyPending(p.now(), p.faults)
	return VMEvent{Kind: kind, VM: *state}
}

// notify calls OnVMEvent, unless the event is empty.
func (p *Platform) notify(event VMEvent) {
	if p.OnVMEvent != nil && event.Kind != "" {
		p.OnVMEvent(event)
	}
}

// checkVMsAvailableLocked returns an error if ctx has ended, the client is disconnected or the VM service is down.
func (p *Platform) checkVMsAvailableLocked(ctx context.Context, client, step string) error {
	switch {
	case ctx.Err() != nil:
		return stepError(step, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err()))
	case p.disconnected[client]:
		return stepError(step, fmt.Errorf("%w: client %q", errDisconnected, client))
	case p.faults.VMServiceUnavailable:
		return stepError(step, fmt.Errorf("%w: the VM service is down", wigeonstep.ErrUnavailable))
	}
	return nil
}

// listVMs returns the VM list. The slice of VMs is shared between calls.
func (p *Platform) listVMs(ctx context.Context, client string) (wigeonstep.VMList, error) {
	changes, err := p.listChanges(ctx, client, "")
	if err != nil {
		return wigeonstep.VMList{}, err
	}
	return wigeonstep.VMList{VMs: changes.VMs, Pools: changes.Pools, Age: changes.Age}, nil
}

// listChanges returns the changes of the VM list since the token, or the full list if this platform did not issue the
// token.
func (p *Platform) listChanges(ctx context.Context, client, since string) (wigeonplatform.VMChanges, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkVMsAvailableLocked(ctx, client, stepListVMs); err != nil {
		return wigeonplatform.VMChanges{}, err
	}
	changes := wigeonplatform.VMChanges{Age: p.faults.VMListLag}
	if p.faults.VMListEmpty {
		changes.Full = true
		return changes, nil
	}
	p.registry.applyPending(p.now(), p.faults)
	if p.faults.VMListFrozen {
		changes.Age += p.now().Sub(p.registry.frozenAt)
	}
	changes.Pools = slices.Clone(p.registry.pools)
	changes.Token = p.tokenLocked(p.registry.version)
	if version, known := p.versionLocked(since); known {
		changes.VMs, changes.Removed = p.registry.changesSince(version)
	} else {
		changes.Full, changes.VMs = true, p.registry.sortedList()
	}
	return changes, nil
}

// versionLocked returns the list version in a token. known is false if this platform did not issue the token.
func (p *Platform) versionLocked(token string) (version uint64, known bool) {
	prefix, number, found := strings.Cut(token, "-")
	if !found || prefix != strconv.FormatInt(p.tokenEpochLocked(), 36) {
		return 0, false
	}
	version, err := strconv.ParseUint(number, 10, 64)
	return version, err == nil && version <= p.registry.version
}

// tokenLocked returns the token of a list version. It contains the time of the first token of the platform, so that
// tokens from before a restart are unknown.
func (p *Platform) tokenLocked(version uint64) string {
	return strconv.FormatInt(p.tokenEpochLocked(), 36) + "-" + strconv.FormatUint(version, 10)
}

func (p *Platform) tokenEpochLocked() int64 {
	if p.tokenEpoch == 0 {
		p.tokenEpoch = time.Now().UnixNano()
	}
	return p.tokenEpoch
}
