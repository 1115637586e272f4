// Package wigeonrelay lets other processes send the orders of a shard's owner to workers.
//
// An order to a worker is an HTTP request of its own, and the owner of a large pool sends thousands a second. An owner hands
// them in frames of many orders to a few relays, each for a fixed part of the workers, and gets the results back in frames.
// The relays decide nothing: an order carries the owner's fencing token, and the time from which it must not be sent any
// more on the relay's own clock, so that a frame that arrives late has no effect.
package wigeonrelay
