// Package wigeonrouting selects the backend server for each request. It limits the concurrency on each server, quarantines
// unhealthy servers and avoids servers that are leaving.
//
// The package does not read a clock and is not safe for concurrent use: the caller passes the time and holds a lock per pool.
package wigeonrouting
