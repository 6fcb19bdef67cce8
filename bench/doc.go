// Package bench is the root of the placement policy benchmark. The benchmark runs in
// virtual time on queueing models of targets, entry VMs and callers.
package bench
