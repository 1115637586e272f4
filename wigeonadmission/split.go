package wigeonadmission

import "github.com/wigeonstep/wigeonstep"

// Report is the last demand that a session reported for a pool, or the process's own.
type Report struct {
	Session wigeonstep.SessionID
	// Heard is false for a session that has never reported; it counts with an equal share.
	Heard bool
	Demand
}

// Grant is one process's part of the slots of a pool: the slots First to First+Slots-1 of Pool.
// The grants that Split computes from the same reports do not overlap.
type Grant struct {
	First int
	Slots int
	// Pool is the number of slots of the whole pool.
	Pool int
}

// Split returns the grant of session self. Every process that passes the same reports, in any order, computes the same split.
func Split(slots int, self wigeonstep.SessionID, reports []Report) Grant {
	grant := Grant{Pool: max(slots, 0)}
	n := len(reports)
	if n == 0 {
		return grant
	}
	rank := 0
	for _, r := range reports {
		if r.Session < self {
			rank++
		}
	}
	grant.First = grant.Pool * rank / n
	grant.Slots = grant.Pool*(rank+1)/n - grant.First
	return grant
}
