// Package wigeonretry decides whether a request is sent again and bounds the load that retries add to a pool.
//
// Nothing in the package reads a clock or is safe for concurrent use; the caller passes the time and holds a lock per pool.
package wigeonretry
