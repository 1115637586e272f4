// Package wigeonfake implements stand-ins of the systems around wigeonstep: the platform with its log and VM service, backend
// servers and callers. Package wigeonstandin has those of the store, the workers and the machine service.
//
// Tests, the demo and local runs use them. The stand-ins of the platform and of backend servers inject faults, which can be
// changed at run time. Equal seeds give equal sequences of random choices; the default seed is 0.
package wigeonfake
