// Package wigeonstep defines the ids, units, states, outcomes and interfaces that the packages of the project share.
//
// It imports no other package of the project. docs/design.md describes how the packages work together.
package wigeonstep
