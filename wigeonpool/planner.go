package wigeonpool

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Config configures a Planner. The zero value works.
type Config struct {
	// Target returns the number of workers that a pool is to have, default Target.
	Target func(fleet *Fleet, pool *Pool) int
	// Wait returns the time for which a shortage must last before a VM moves to the pool, default Wait.
	Wait func(pool *Pool) time.Duration
	// SurplusFactor times Wait is the time for which a surplus must last before a VM moves to the spare pool, default
	// 10.
	SurplusFactor int
}

// Planner plans observation, repair and moves. Its state, such as the start times of shortages, surpluses and failures,
// may be lost at a restart, which only delays decisions. Its methods must be called from one goroutine.
type Planner struct {
	config Config
	pools  map[wigeonstep.PoolName]*poolHistory
	// downSince holds the time at which each VM in Fleet.down was first seen down.
	downSince map[wigeonstep.VMID]time.Time
	// assignedEpoch holds, for each VM of this data centre, the epoch at which the platform is known to have assigned
	// the VM to its pool; VMs without a known assignment are missing.
	assignedEpoch map[wigeonstep.VMID]wigeonstep.VMEpoch
	// outOfServiceAt holds the last time at which each VM of this data centre was out of service, until assignedEpoch
	// holds the VM.
	outOfServiceAt map[wigeonstep.VMID]time.Time
	// withoutControlSince holds the time since which a data centre has had no open control session.
	withoutControlSince map[wigeonstep.DataCentreName]time.Time
	// proposedPools holds the pools of the last PoolObserve, which was proposed at poolsProposedAt.
	proposedPools   []wigeonstep.PoolName
	poolsProposedAt time.Time
}

// NewPlanner returns a Planner; defaults replace the zero values of config.
func NewPlanner(config Config) *Planner {
	if config.Target == nil {
		config.Target = Target
	}
	if config.Wait == nil {
		config.Wait = Wait
	}
	if config.SurplusFactor <= 0 {
		config.SurplusFactor = 10
	}
	return &Planner{
		config:              config,
		pools:               map[wigeonstep.PoolName]*poolHistory{},
		downSince:           map[wigeonstep.VMID]time.Time{},
		assignedEpoch:       map[wigeonstep.VMID]wigeonstep.VMEpoch{},
		outOfServiceAt:      map[wigeonstep.VMID]time.Time{},
		withoutControlSince: map[wigeonstep.DataCentreName]time.Time{},
	}
}

// Plan returns the proposals and actions of one round.
func (p *Planner) Plan(fleet *Fleet) Plan {
	var plan Plan
	p.observeList(&plan, fleet)
	p.assignPools(&plan, fleet)
	p.repair(&plan, fleet)
	p.planMoves(&plan, fleet)
	return plan
}
