// Package wigeonquota keeps what a team has running, over the shards of all services, within the team's limit. The limit is
// divided among the partitions by the owner of the fleet partition (Division); the owner of a shard keeps to its part (Ledger).
//
// Both are deterministic and use no clock or network. docs/design/quotas.md gives the protocol and the reasons for its rules.
package wigeonquota

import (
	"cmp"

	"github.com/wigeonstep/wigeonstep"
)

// GrantNumber orders the grants that a partition gets for a team. The zero value is that of no grant.
type GrantNumber struct {
	// Epoch is the fencing token of the owner of the fleet partition.
	Epoch   wigeonstep.FencingToken
	Counter uint64
}

// after reports whether the grant with the number is newer than the one with the other number.
func (n GrantNumber) after(other GrantNumber) bool {
	return cmp.Or(cmp.Compare(n.Epoch, other.Epoch), cmp.Compare(n.Counter, other.Counter)) > 0
}

// Grant is the part of a team's limit that a partition may use.
type Grant struct {
	Team   wigeonstep.TeamName
	Number GrantNumber
	// Allowance is what the runs of the partition may require. An owner that uses more starts nothing and keeps the rest only
	// until its runs end.
	Allowance Resources
	// Limit is the limit of the team that the division had in force, and Version the version of its configuration.
	Limit   Resources
	Version wigeonstep.ConfigVersion
	// Total bounds what all partitions together may hold, as long as no other limit than Limit comes into force; at least Limit.
	Total Resources
	// MayExceed is set if the partition may start a task that takes it above its allowance. At most one partition may.
	MayExceed bool
}

// Use is what the shard of a partition reports about a team with a limit.
type Use struct {
	Team wigeonstep.TeamName
	// Use is what the runs require that may be running.
	Use Resources
	// Wanted is Use, and what the ready tasks require if one of them was refused.
	Wanted Resources
	// Next is what the first refused task, or gang, requires; zero if none was refused.
	Next Resources
	// Cap is what the shard keeps to until it receives a newer grant than the one with the number Grant.
	Cap   Resources
	Grant GrantNumber
}
