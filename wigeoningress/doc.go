// Package wigeoningress bounds what clients send to a process over HTTP/1.1. Its listener and connections lie below the HTTP
// library: a connection collects one request, checks its framing, and hands it to the library only when it is complete. All
// connections of a process share one memory budget. When it is used up, the connection with the highest cost is evicted.
//
// The design is in docs/design/ingress.md.
package wigeoningress
