// Package wigeonreplay drives the decision cores with a recorded trace and checks stated outcomes.
//
// It holds one logical fold, an entry decision core and a planner for each entry VM, and workers as slots with true run times.
// It reads no clock and no unseeded random source, so the same trace and seed give the same figures.
package wigeonreplay
