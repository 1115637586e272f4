// Package wigeonpeer carries the messages between wigeonstep processes.
//
// Two processes share one TCP connection with a yamux session. Each call uses a yamux stream of its own: one request,
// one response, each a protobuf message of wigeonwire/peer.proto with a 4-byte big-endian length before it.
//
// The side that dials makes the calls. Session ends, garbage and oversized frames cost the connection they came on and
// nothing else.
package wigeonpeer
