// Package wigeonstate folds the records of the fleet stream into the state that all processes agree on.
package wigeonstate

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// View is an immutable picture of the folded state without its keys and jobs. Readers share it and change nothing in it.
type View struct {
	// Next is the offset of the first record that is not folded yet.
	Next wigeonstep.Offset
	// Time is the fold time; it never runs backwards.
	Time time.Time
	// Sessions holds open sessions and those that expired without a clean close, sorted by id.
	Sessions []*Session
	// VMs holds every VM that is not gone.
	VMs map[wigeonstep.VMID]*VM
	// Pools lists the VMs of each pool, sorted by id.
	Pools map[wigeonstep.PoolName][]*VM
	// Services holds the document in force for each service.
	Services map[wigeonstep.ServiceName]*Service
	// Waves holds the waves that have not ended, sorted by id.
	Waves []*Wave

	routes map[route]*Route
	// owners is nil in the view before the first record.
	owners *[Partitions]*Session
}

// Session is one incarnation of a process.
type Session struct {
	ID         wigeonstep.SessionID
	Role       wigeonwire.Role
	DataCentre wigeonstep.DataCentreName
	// PeerAddress is host:port of the inter-process port.
	PeerAddress string
	// VM is the entry VM of the process, empty when unknown.
	VM            wigeonstep.VMID
	LastRenewal   uint64
	AppliedOffset wigeonstep.Offset
	Ready         bool
	Closing       bool
	// BusyVMs are VMs out of service on which the session still has requests in flight.
	BusyVMs map[wigeonstep.VMID]bool
	// Expired is set when the session ended without a clean close; it may still be running.
	Expired bool
}

// VM is one VM of the fleet. It is in exactly one pool at every offset.
type VM struct {
	ID         wigeonstep.VMID
	DataCentre wigeonstep.DataCentreName
	Rack       wigeonstep.RackName
	Pool       wigeonstep.PoolName
	// Address is host:port of the VM's backend server.
	Address string
	Shape   wigeonstep.Shape
	Phase   wigeonwire.Phase
	// Epoch rises with every accepted transition.
	Epoch wigeonstep.Epoch
	// PhaseOffset is the offset of the record that set the phase.
	PhaseOffset wigeonstep.Offset
	// PhaseSince is the fold time at which the phase was set.
	PhaseSince time.Time
	// Wave is the maintenance wave in progress on the VM, empty when none.
	Wave wigeonstep.WaveID
	// LastWave is the last wave that the VM completed.
	LastWave       wigeonstep.WaveID
	LastMaintained time.Time
	// Leaving is set when the VM list says that the VM is leaving.
	Leaving bool
}

// InService reports whether the VM takes new work.
func (v *VM) InService() bool {
	return v.Phase == wigeonwire.Phase_PHASE_IN_SERVICE && !v.Leaving
}

// Service is a document in force.
type Service struct {
	Version  wigeonstep.Version
	Document *wigeondocument.Document
	Operator string
	// Offset is the offset of the accepted change.
	Offset wigeonstep.Offset
	// At is the fold time of the accepted change.
	At time.Time
}

// Wave is a maintenance wave over one pool.
type Wave struct {
	ID      wigeonstep.WaveID
	Pool    wigeonstep.PoolName
	Started time.Time
	Done    int
	// Total is the number of VMs in the pool when the wave started.
	Total int
}

// Route is where the requests of a team's class go.
type Route struct {
	Service *Service
	Class   *wigeondocument.Class
}

type route struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

// Route returns the service and class that the team's requests of the class belong to.
func (v *View) Route(team wigeonstep.TeamName, class wigeonstep.ClassName) (*Route, bool) {
	r, ok := v.routes[route{team: team, class: class}]
	return r, ok
}

// Partitions is the number of partitions of the key space.
const Partitions = 256

// Owner returns the session that owns the key's partition, or nil when no entry process is ready.
func (v *View) Owner(key wigeonstep.Key) *Session {
	if v.owners == nil {
		return nil
	}
	return v.owners[PartitionOf(key)]
}
