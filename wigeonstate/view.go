// Package wigeonstate applies the records of the fleet stream to the fleet state. Applying records is deterministic:
// processes that have applied the same records have the same state, which is how they agree without any other exchange.
package wigeonstate

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// View is an immutable view of the state without idempotency keys and jobs. Goroutines share it and must not modify it.
type View struct {
	// NextOffset is the offset of the first record that the view does not cover.
	NextOffset wigeonstep.Offset
	// FoldTime is the fold time: the clock of the state, which only the times written in records advance. It never
	// decreases.
	FoldTime time.Time
	// Sessions holds the open and the expired sessions, sorted by id.
	Sessions []*Session
	// VMs holds every VM of the fleet. VMs in phase gone have left it.
	VMs map[wigeonstep.VMID]*VM
	// Pools lists the VMs of each pool, sorted by id.
	Pools map[wigeonstep.PoolName][]*VM
	// Services holds the document in force of each service.
	Services map[wigeonstep.ServiceName]*Service
	// Waves holds the waves that have not ended, sorted by id.
	Waves []*Wave

	routes map[routeKey]*Route
	// partitionOwners is nil only in the zero View.
	partitionOwners *[Partitions]*Session
}

// Session is one session of a process. A process opens a new session when it starts and after its session ended.
type Session struct {
	ID         wigeonstep.SessionID
	Role       wigeonwire.Role
	DataCentre wigeonstep.DataCentreName
	// PeerAddress is the host:port at which other wigeonstep processes reach this one.
	PeerAddress string
	// VM is the entry VM that the process runs on, empty when unknown.
	VM wigeonstep.VMID
	// LastRenewal is the number of the last accepted renewal, 0 before the first one.
	LastRenewal uint64
	// AppliedOffset is the highest offset that the process has reported as applied.
	AppliedOffset wigeonstep.Offset
	Ready         bool
	Closing       bool
	// BusyVMs holds the VMs out of service on which the process still has requests in flight.
	BusyVMs map[wigeonstep.VMID]bool
	// Expired is set when the session was ended for lack of renewals. Its process may still be running.
	Expired bool
}

// VM is one VM of the fleet. It is in exactly one pool at every offset.
type VM struct {
	ID         wigeonstep.VMID
	DataCentre wigeonstep.DataCentreName
	Rack       wigeonstep.RackName
	Pool       wigeonstep.PoolName
	// Address is the host:port of the VM's backend server.
	Address string
	Shape   wigeonstep.Shape
	Phase   wigeonwire.Phase
	// Epoch increases with every accepted transition. A transition names the epoch that it is based on.
	Epoch wigeonstep.VMEpoch
	// PhaseOffset is the offset of the record that set the phase.
	PhaseOffset wigeonstep.Offset
	// PhaseSince is the fold time at which the phase was set.
	PhaseSince time.Time
	// Wave is the maintenance wave for which the VM is being drained, rebooted or verified, empty when there is none.
	Wave wigeonstep.WaveID
	// LastWave is the last wave in which the maintenance of the VM was completed.
	LastWave wigeonstep.WaveID
	// LastMaintained is the fold time of the last return from verifying to in_service, zero when there was none.
	LastMaintained time.Time
	// Leaving is set when the platform's VM list announces that the platform will remove the VM.
	Leaving bool
}

// InService reports whether the VM accepts new work.
func (v *VM) InService() bool {
	return v.Phase == wigeonwire.Phase_PHASE_IN_SERVICE && !v.Leaving
}

// Service is the document in force of a service.
type Service struct {
	// Version counts the accepted changes of the document, from 1.
	Version  wigeonstep.DocumentVersion
	Document *wigeondocument.Document
	// Operator is the name given in the accepted change.
	Operator string
	// AcceptedOffset is the offset of the accepted change.
	AcceptedOffset wigeonstep.Offset
	// AcceptedAt is the fold time of the accepted change.
	AcceptedAt time.Time
}

// Wave is a maintenance wave over the VMs of one pool.
type Wave struct {
	ID        wigeonstep.WaveID
	Pool      wigeonstep.PoolName
	StartedAt time.Time
	// DoneVMs is the number of VMs whose maintenance in this wave was completed.
	DoneVMs int
	// TotalVMs is the number of VMs in the pool when the wave started.
	TotalVMs int
}

// Route is the service and class to which the requests of one class of a team belong.
type Route struct {
	Service *Service
	Class   *wigeondocument.Class
}

// routeKey is unique among the documents in force, because a class name is unique within its team.
type routeKey struct {
	team  wigeonstep.TeamName
	class wigeonstep.ClassName
}

// Route returns the route of the team's requests of the class, and false when no document in force has the class.
func (v *View) Route(team wigeonstep.TeamName, class wigeonstep.ClassName) (*Route, bool) {
	r, ok := v.routes[routeKey{team: team, class: class}]
	return r, ok
}

// Partitions is the number of partitions of the space of idempotency keys and job ids.
const Partitions = 256

// Owner returns the session that owns the partition of the key, or nil when no entry session is ready.
func (v *View) Owner(key wigeonstep.IdempotencyKey) *Session {
	if v.partitionOwners == nil {
		return nil
	}
	return v.partitionOwners[PartitionOf(key)]
}
