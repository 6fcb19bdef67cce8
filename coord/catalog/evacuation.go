package catalog

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// maxEvacuations bounds the data centres that are recorded as evacuated.
const maxEvacuations = 64

var (
	// ErrDataCentreName reports a name that no data centre can have.
	ErrDataCentreName = errors.New("name of a data centre must have 1 to 64 letters, digits, '-', '_' or '.'")
	// ErrTooManyEvacuations reports an order that would exceed the number of evacuated data
	// centres that are recorded.
	ErrTooManyEvacuations = fmt.Errorf("%d data centres are evacuated already", maxEvacuations)
)

var dataCentreName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Evacuation is an order about a data centre: to send nothing more to its targets, or to end
// that.
type Evacuation struct {
	// DataCentre is the name of the data centre.
	DataCentre string `json:"data_centre"`
	// End is set if the order ends an earlier one.
	End bool `json:"end,omitempty"`
}

// Validate returns ErrDataCentreName if the order names no possible data centre. The data
// centre need not have targets.
func (e Evacuation) Validate() error {
	if !dataCentreName.MatchString(e.DataCentre) {
		return ErrDataCentreName
	}
	return nil
}

// These are the fields of the retirement records that carry evacuations through replicas of
// earlier releases, which drop what they don't know from their snapshots. A VM id has no
// slash, and records that are done have no effect there.
const (
	carrierPrefix  = "evacuation/"
	carrierStarted = "started"
	carrierEnded   = "ended"
)

// Carrier returns the order as a retirement record, the form in which replicas of earlier
// releases keep it.
func (e Evacuation) Carrier() Retirement {
	state := carrierStarted
	if e.End {
		state = carrierEnded
	}
	return Retirement{Node: carrierPrefix + e.DataCentre, Address: state, Done: true}
}

// applyEvacuation executes an order. One that changes nothing has no effect.
func (s *State) applyEvacuation(index uint64, e Evacuation) {
	_, evacuated := s.Evacuations[e.DataCentre]
	switch {
	case evacuated != e.End:
		return
	case e.End:
		delete(s.Evacuations, e.DataCentre)
	case len(s.Evacuations) >= maxEvacuations || e.Validate() != nil:
		return
	default:
		s.Evacuations[e.DataCentre] = index
	}
	s.EvacuationRevision = index
	s.Revision = index
}

// Evacuated returns the names of the evacuated data centres in order. It is never nil.
func (s *State) Evacuated() []string {
	names := slices.AppendSeq(make([]string, 0, len(s.Evacuations)), maps.Keys(s.Evacuations))
	slices.Sort(names)
	return names
}

// withCarriers returns the retirements with a record for each evacuated data centre.
func (s *State) withCarriers() map[string]Retirement {
	if len(s.Evacuations) == 0 {
		return s.Retirements
	}
	all := maps.Clone(s.Retirements)
	for dataCentre := range s.Evacuations {
		carrier := Evacuation{DataCentre: dataCentre}.Carrier()
		all[carrier.Node] = carrier
	}
	return all
}

// takeCarriers removes the records that carry evacuations from the retirements. It uses them if
// the snapshot is from an earlier release, which does not write the evacuations themselves.
func (s *State) takeCarriers(earlierRelease bool) {
	if earlierRelease {
		// Followers may know a set of an earlier revision.
		s.EvacuationRevision = s.Revision
	}
	for node, r := range s.Retirements {
		dataCentre, carries := strings.CutPrefix(node, carrierPrefix)
		if !carries {
			continue
		}
		delete(s.Retirements, node)
		if earlierRelease && r.Address == carrierStarted {
			s.Evacuations[dataCentre] = s.Revision
		}
	}
}
