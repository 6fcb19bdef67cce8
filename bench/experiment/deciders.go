package experiment

import (
	"hemlockvale.dev/bench/entry"
	"hemlockvale.dev/coord/placement"
)

// DeciderName identifies a decider.
type DeciderName string

// These constants name the deciders that are compared. FCFS (first come, first served)
// is the policy without its priorities.
const (
	Policy           DeciderName = "policy"
	FCFS             DeciderName = "first-come"
	PrefixAffinity   DeciderName = "prefix-affinity"
	LeastOutstanding DeciderName = "least-outstanding"
	RoundRobin       DeciderName = "round-robin"
)

// DeciderNames lists all deciders in the order of the table.
var DeciderNames = []DeciderName{Policy, FCFS, PrefixAffinity, LeastOutstanding, RoundRobin}

// deciderFactory returns a function that creates the decider of one entry.
func deciderFactory(n DeciderName, p placement.Policy) func() entry.Decider {
	return func() entry.Decider {
		switch n {
		case Policy:
			return entry.Policy{Policy: p}
		case FCFS:
			return entry.Policy{Policy: p, FCFS: true}
		case PrefixAffinity:
			return entry.PrefixAffinity{}
		case LeastOutstanding:
			return entry.LeastOutstanding{}
		default:
			return &entry.RoundRobin{}
		}
	}
}
