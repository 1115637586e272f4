// Package wigeonadmission decides which request may hold a slot of a pool, which one waits and which one is refused.
//
// Nothing in the package reads a clock or is safe for concurrent use; the caller passes the time and holds a lock per pool.
package wigeonadmission
