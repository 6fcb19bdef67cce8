// Package bench benchmarks the placement policy in virtual time against queueing models
// of targets and callers.
package bench
