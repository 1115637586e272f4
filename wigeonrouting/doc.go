// Package wigeonrouting selects the backend server of a request and keeps limits, quarantine and leaving servers.
//
// Nothing in the package reads a clock or is safe for concurrent use; the caller passes the time and holds a lock per pool.
package wigeonrouting
