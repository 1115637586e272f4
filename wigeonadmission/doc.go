// Package wigeonadmission implements admission control for a pool of VMs: it starts, queues or refuses requests and
// jobs, shares the slots fairly between teams, and splits the pool's slots between processes.
//
// The package reads no clock and is not safe for concurrent use. Callers pass the current time and hold one lock per
// pool.
package wigeonadmission
