package wigeonteam

import "github.com/wigeonstep/wigeonstep"

// Caller is the sender of a call whose credential was checked where it needs one.
type Caller struct {
	// Team is empty for a call on a public queue, and where no credentials are required.
	Team wigeonstep.TeamName
	// PublicQueue is the queue of the call if it is public, and empty otherwise.
	PublicQueue wigeonstep.QueueName
}

// MayAccess reports whether the caller may see and change a job of the team in the queue.
func (c Caller) MayAccess(team wigeonstep.TeamName, queue wigeonstep.QueueName) bool {
	return team == "" || team == c.Team || c.PublicQueue != "" && c.PublicQueue == queue
}
