package registry

import (
	"fmt"
	"slices"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/routing"
)

// View is a VM's copy of the catalog. It is immutable.
type View struct {
	// Revision is the revision of the catalog; 0 before the first transfer.
	Revision uint64
	// Table is the routing table of the configuration in force; nil if there is none.
	Table *routing.Table
	// Targets holds the targets that have not left, ordered by id.
	Targets []catalog.Target
	// Stores holds the initial members of the store group.
	Stores []catalog.Store
	// Evacuations holds the evacuated data centres. Its revision is independent of Revision: a
	// control VM of an earlier release delivers later revisions without evacuations.
	Evacuations Evacuations

	// configurationRevision is the revision that put the configuration of Table in
	// force; 0 requests the complete configuration with the next transfer.
	configurationRevision uint64
}

// Target returns the target with an id, and whether there is one.
func (v *View) Target(id string) (catalog.Target, bool) {
	index, found := slices.BinarySearchFunc(v.Targets, id, func(t catalog.Target, id string) int {
		switch {
		case t.ID < id:
			return -1
		case t.ID > id:
			return 1
		}
		return 0
	})
	if !found {
		return catalog.Target{}, false
	}
	return v.Targets[index], true
}

// Evacuated reports whether a data centre is evacuated.
func (v *View) Evacuated(dataCentre string) bool {
	_, found := slices.BinarySearch(v.Evacuations.DataCentres, dataCentre)
	return found
}

// withEvacuations returns the view with a set of evacuated data centres, or v if the set is
// earlier than its own or equal to it. A set that control delivers replaces a stored one, which
// has revision 0.
func (v *View) withEvacuations(e *Evacuations) *View {
	if e == nil || e.Revision < v.Evacuations.Revision || e.Revision == v.Evacuations.Revision && slices.Equal(e.DataCentres, v.Evacuations.DataCentres) {
		return v
	}
	next := *v
	next.Evacuations = *e
	return &next
}

// version returns the version of the configuration in force; 0 if there is none.
func (v *View) version() int64 {
	if v.Table == nil {
		return 0
	}
	return v.Table.Version()
}

// apply returns the view that results from applying a transfer to v. It fails if the
// transfer contains a change of a configuration that v does not hold.
func (v *View) apply(transfer Transfer) (*View, error) {
	next := &View{Revision: transfer.Revision, Table: v.Table, Targets: transfer.Targets, Stores: transfer.Stores, Evacuations: v.Evacuations, configurationRevision: v.configurationRevision}
	if transfer.Partial {
		next.Targets = mergeTargets(v.Targets, transfer.Targets)
	}
	version := v.version()
	c := transfer.Configuration
	if change := transfer.Change; change != nil {
		if change.From != version {
			return nil, fmt.Errorf("change is based on version %d, but the view holds version %d", change.From, version)
		}
		updated := change.Apply(v.Table.Configuration)
		c = &updated
	}
	if c != nil && c.Version > version {
		next.Table = routing.NewTable(*c)
		next.configurationRevision = transfer.ConfigurationRevision
	}
	return next.withEvacuations(transfer.Evacuations), nil
}

// mergeTargets applies changed targets to old ones. Targets that have left are removed;
// the result is ordered by id.
func mergeTargets(old, changed []catalog.Target) []catalog.Target {
	byID := make(map[string]catalog.Target, len(old)+len(changed))
	for _, t := range slices.Concat(old, changed) {
		byID[t.ID] = t
	}
	return catalog.Live(byID)
}
