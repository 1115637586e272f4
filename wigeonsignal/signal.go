// Package wigeonsignal makes a program that imports it ignore SIGHUP until it asks for the signal with os/signal. The default
// action would end a process to which the signal is sent while it starts. The package has an effect only in builds with cgo.
package wigeonsignal
