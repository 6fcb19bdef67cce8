package experiment

import (
	"hemlockvale.dev/bench/entry"
	"hemlockvale.dev/coord/placement"
)

// Name identifies a way to decide.
type Name string

// Ways to decide that are compared.
const (
	Policy           Name = "policy"
	FirstCome        Name = "first-come"
	PrefixAffinity   Name = "prefix-affinity"
	LeastOutstanding Name = "least-outstanding"
	RoundRobin       Name = "round-robin"
)

// Names lists all ways in the order of the table.
var Names = []Name{Policy, FirstCome, PrefixAffinity, LeastOutstanding, RoundRobin}

func decider(n Name, p placement.Policy) func() entry.Decider {
	return func() entry.Decider {
		switch n {
		case Policy:
			return entry.Policy{Policy: p}
		case FirstCome:
			return entry.Policy{Policy: p, FirstCome: true}
		case PrefixAffinity:
			return entry.PrefixAffinity{}
		case LeastOutstanding:
			return entry.LeastOutstanding{}
		default:
			return &entry.RoundRobin{}
		}
	}
}
