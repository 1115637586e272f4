package wigeonfake

import (
	"errors"
	"fmt"
	"sync"

	"github.com/wigeonstep/wigeonstep"
)

// Fleet is a Platform with a BackendServer for each VM. When a VM is drained, rebooted, assigned or lost, its server
// changes its state accordingly. The zero value is ready to use.
type Fleet struct {
	Platform Platform
	// Runs counts the runs of all backend servers.
	Runs RunCounter

	mu       sync.Mutex
	backends map[wigeonstep.VMID]*BackendServer
}

// Add starts a backend server for the VM and adds the VM to the platform. An empty address stands for a free port of
// 127.0.0.1.
func (f *Fleet) Add(vm wigeonstep.ListedVM) (*BackendServer, error) {
	backend := &BackendServer{VM: vm.ID, Slots: vm.Shape.Slots, Connections: vm.Shape.Connections, RunCounter: &f.Runs}
	if vm.Address == "" {
		vm.Address = "127.0.0.1:0"
	}
	if err := backend.Start(vm.Address); err != nil {
		return nil, fmt.Errorf("start VM %q: %w", vm.ID, err)
	}
	vm.Address = backend.Address()
	f.mu.Lock()
	if f.backends == nil {
		f.backends = map[wigeonstep.VMID]*BackendServer{}
		f.Platform.OnVMEvent = f.applyVMEvent
	}
	replaced := f.backends[vm.ID]
	f.backends[vm.ID] = backend
	f.mu.Unlock()
	if replaced != nil {
		replaced.Stop()
	}
	f.Platform.AddVM(vm)
	return backend, nil
}

// Backend returns the server of a VM, or nil if the VM is unknown.
func (f *Fleet) Backend(vm wigeonstep.VMID) *BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends[vm]
}

// Close cancels reboots in progress and stops all servers.
func (f *Fleet) Close() {
	f.Platform.Close()
	f.mu.Lock()
	backends := f.backends
	f.backends = nil
	f.mu.Unlock()
	for _, backend := range backends {
		backend.Stop()
	}
}

// applyVMEvent changes the state of the server of a VM after a change of the VM.
func (f *Fleet) applyVMEvent(event VMEvent) {
	backend := f.Backend(event.VM.ID)
	if backend == nil {
		return
	}
	backend.RaiseFence(event.VM.Fence)
	switch event.Kind {
	case VMDrained:
		backend.ChangeFaults(func(faults *BackendFaults) { faults.Leaving = true })
	case VMAssigned:
		backend.ChangeFaults(func(faults *BackendFaults) { faults.Leaving = false })
	case VMRebooting, VMDown, VMRemoved:
		backend.Stop()
	case VMUp:
		// Another program may have taken the port while the VM was down. The VM then stays down.
		if err := backend.Start(""); err != nil && !errors.Is(err, errAlreadyRunning) {
			f.Platform.SetVMUp(event.VM.ID, false)
		}
	}
}
