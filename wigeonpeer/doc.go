// Package wigeonpeer carries the messages between wigeonstep processes.
//
// A client has one TCP connection with a yamux session to each peer. Each call opens a yamux stream of its own, which
// carries one request and one response. Each is a protobuf message of wigeonwire/peer.proto, preceded by its length in 4
// bytes, big-endian.
//
// A session is a yamux session in this package, except for RecordSource.Session, which is the session of a process on the
// log.
//
// Only the side that dialled sends requests. A server closes the connection on which a malformed or oversized request
// arrives, and no other. A malformed or oversized response fails only its own call.
package wigeonpeer
