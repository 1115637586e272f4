//go:build cgo

package wigeonsignal

// An import of C is needed for the C file of the package to be compiled.

import "C"
