// Package wigeonreplay replays recorded traces in a discrete-event simulation of a fleet and checks the measured figures
// against stated outcomes.
//
// The admission, routing, planning and state code is that of the real processes. The simulation stands in for the log
// (one fold that all processes share), the processes (an entry process and a control daemon on each entry VM), the
// platform, and the workers, which occupy a slot for the true run time of each request. The package reads no clock and no
// unseeded random source, so the same trace, policy and seed give the same figures.
package wigeonreplay
