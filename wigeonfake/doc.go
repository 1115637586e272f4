// Package wigeonfake implements stand-ins of the systems around wigeonstep: the platform, backend servers and callers.
//
// Tests, the demo and local runs use them. Faults can be changed at run time. Random choices are seeded.
package wigeonfake
