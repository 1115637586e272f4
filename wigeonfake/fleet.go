package wigeonfake

import (
	"errors"
	"fmt"
	"sync"

	"github.com/wigeonstep/wigeonstep"
)

// Fleet is a Platform whose VMs are BackendServers. Drains, reboots, assignments and losses of a VM act on its server.
// The zero value works.
type Fleet struct {
	Platform Platform
	// Runs is shared by all backend servers.
	Runs Ledger

	mu       sync.Mutex
	backends map[wigeonstep.VMID]*BackendServer
}

// Add starts a backend server for the VM and adds the VM to the platform. An empty address means 127.0.0.1 with a port
// chosen by the system.
func (f *Fleet) Add(vm wigeonstep.ListedVM) (*BackendServer, error) {
	backend := &BackendServer{VM: vm.ID, Slots: vm.Shape.Slots, Connections: vm.Shape.Connections, Ledger: &f.Runs}
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
		f.Platform.OnVM = f.onVM
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

// Backend returns the server of a VM, or nil.
func (f *Fleet) Backend(vm wigeonstep.VMID) *BackendServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends[vm]
}

// Close stops all servers.
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

func (f *Fleet) onVM(event VMEvent) {
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
		// A VM whose port was taken while it was down does not come back.
		if err := backend.Start(""); err != nil && !errors.Is(err, errRunning) {
			f.Platform.SetVMUp(event.VM.ID, false)
		}
	}
}
