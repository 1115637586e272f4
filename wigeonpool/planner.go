package wigeonpool

// Config configures a Planner. The zero value works.
type Config struct{}

// Planner plans observation, repair and moves. It keeps only what may be lost at a restart: since when a shortage,
// a surplus or an absence has lasted. Its methods are called from one goroutine.
type Planner struct{}

// NewPlanner returns a Planner.
func NewPlanner(config Config) *Planner { return &Planner{} }

// Plan returns the proposals and actions of one round.
func (p *Planner) Plan(fleet *Fleet) Plan { return Plan{} }
