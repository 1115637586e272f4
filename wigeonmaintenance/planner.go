// Package wigeonmaintenance plans maintenance waves and takes each VM through its drain, reboot and return to service.
//
// It decides from the folded state, the time and the observations of one daemon, and does no I/O.
package wigeonmaintenance

import "github.com/wigeonstep/wigeonstep/wigeonpool"

// Config configures a Planner. The zero value works.
type Config struct{}

// Planner plans waves and the phases of VMs. Its methods are called from one goroutine.
type Planner struct{}

// NewPlanner returns a Planner.
func NewPlanner(config Config) *Planner { return &Planner{} }

// Plan returns the proposals and actions of one round.
func (p *Planner) Plan(fleet *wigeonpool.Fleet) wigeonpool.Plan { return wigeonpool.Plan{} }
