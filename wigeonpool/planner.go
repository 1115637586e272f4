package wigeonpool

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Config configures a Planner. The zero value works.
type Config struct {
	// Target returns how many workers a pool is to have, default Target.
	Target func(fleet *Fleet, pool *Pool) int
	// Wait returns how long a shortage lasts before a VM moves to the pool, default Wait.
	Wait func(pool *Pool) time.Duration
	// SurplusFactor is how many times Wait a surplus lasts before a VM moves back to the spare pool, default 10.
	SurplusFactor int
}

// Planner plans observation, repair and moves. It keeps only what may be lost at a restart: since when a shortage,
// a surplus or an absence has lasted. Its methods are called from one goroutine.
type Planner struct {
	config Config
	pools  map[wigeonstep.PoolName]*history
	// absent holds since when each VM of this data centre has been seen down.
	absent map[wigeonstep.VMID]time.Time
	// settled holds the epoch at which the platform is known to have each VM of this data centre in its pool.
	settled map[wigeonstep.VMID]wigeonstep.Epoch
	// out holds when each VM of this data centre was last seen out of service, until it is settled.
	out map[wigeonstep.VMID]time.Time
	// silent holds since when a data centre has had no open control session.
	silent map[wigeonstep.DataCentreName]time.Time
	// listed are the pools of the last PoolObserve.
	listed []wigeonstep.PoolName
	toldAt time.Time
}

// NewPlanner returns a Planner.
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
		config:  config,
		pools:   map[wigeonstep.PoolName]*history{},
		absent:  map[wigeonstep.VMID]time.Time{},
		settled: map[wigeonstep.VMID]wigeonstep.Epoch{},
		out:     map[wigeonstep.VMID]time.Time{},
		silent:  map[wigeonstep.DataCentreName]time.Time{},
	}
}

// Plan returns the proposals and actions of one round.
func (p *Planner) Plan(fleet *Fleet) Plan {
	var plan Plan
	p.observe(&plan, fleet)
	p.settle(&plan, fleet)
	p.repair(&plan, fleet)
	p.move(&plan, fleet)
	return plan
}
