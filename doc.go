// Package wigeonstep holds the ids, units, states, outcomes and interfaces that the packages of the project share.
//
// The package imports none of its children. docs/design.md describes how the packages work together.
package wigeonstep
