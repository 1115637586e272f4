package wigeonpool

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
)

// Fleet is the input of one planning round: the folded state, the time and the observations.
// The planners of one round share it, so that drains for maintenance and for moves count against the same budgets.
type Fleet struct {
	View *wigeonstate.View
	Now  time.Time
	// DataCentre is the data centre of the daemon; it changes only VMs of this one.
	DataCentre wigeonstep.DataCentreName
	Seen       Observations
}

// NewFleet prepares a planning round.
func NewFleet(view *wigeonstate.View, now time.Time, dataCentre wigeonstep.DataCentreName, seen Observations) *Fleet {
	return &Fleet{View: view, Now: now, DataCentre: dataCentre, Seen: seen}
}
