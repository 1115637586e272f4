// Package wigeonretry decides whether a failed request is retried and limits the load that retries add to a pool.
//
// The package does not read a clock and is not safe for concurrent use: the caller passes the time and holds a lock per pool.
package wigeonretry
