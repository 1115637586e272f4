// Package wigeonfake holds stand-ins for the systems around wigeonstep: the platform, backend servers and callers.
//
// They serve tests, the demo and local runs. Faults are switched at run time, and random choices come from a seed.
package wigeonfake
