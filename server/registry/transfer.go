package registry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
)

const (
	// fetchTimeout bounds a transfer of the catalog.
	fetchTimeout = 2 * time.Second
	// fetchPatience is how long a transfer may take before another control VM is asked as well.
	// Its control VM may be suspended, and a change must be known before a target that leaves has
	// drained.
	fetchPatience = 500 * time.Millisecond
)

// lacks reports whether the view is older than a revision of the catalog or of the evacuated
// data centres.
func (f *Follower) lacks(revision, evacuations uint64) bool {
	view := f.View()
	return revision > view.Revision || evacuations > view.Evacuations.Revision
}

// fetch requests the changes of the catalog from a control VM and adopts them. Only one
// transfer runs at a time, because all control VMs announce a change at the same time, unless it
// is late.
func (f *Follower) fetch(ctx context.Context, address string, revision, evacuations uint64) error {
	late := time.NewTimer(fetchPatience)
	defer late.Stop()
	select {
	case f.transferring <- struct{}{}:
		defer func() { <-f.transferring }()
	case <-late.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	old := f.View()
	if !f.lacks(revision, evacuations) {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var response FetchResponse
	err := f.options.Pool.Call(callCtx, address, MethodFetch, FetchRequest{old.Revision, old.configurationRevision}, &response)
	if err != nil {
		return err
	}
	transfer, err := response.decode()
	if err != nil {
		return err
	}
	f.adoptMu.Lock()
	defer f.adoptMu.Unlock()
	if f.View() != old {
		// Another transfer was faster. The next watch tells what is still missing.
		return nil
	}
	f.adopt(old, transfer, address)
	return nil
}

// adopt applies a transfer to the view. It never returns to an earlier revision or
// configuration. If a change does not apply, the next transfer is requested with the
// complete configuration.
func (f *Follower) adopt(old *View, transfer Transfer, source string) {
	if transfer.Revision <= old.Revision {
		if next := old.withEvacuations(transfer.Evacuations); next != old {
			f.publish(old, next, source)
		}
		return
	}
	transfer.Targets = catalog.ValidTargets(transfer.Targets, func(t catalog.Target, err error) {
		f.options.Log.WithFields(logrus.Fields{"event": "target_skipped", "target": t.ID, "revision": transfer.Revision}).WithError(err).Warn("the catalog has a target that can't be used")
	})
	next, err := old.apply(transfer)
	if err != nil {
		f.options.Log.WithFields(logrus.Fields{"event": "change_rejected", "revision": transfer.Revision, "previous": old.Revision, "source": source}).WithError(err).Error("configuration change does not apply; requesting the complete configuration")
		fallback := *old
		fallback.configurationRevision = 0
		f.view.Store(&fallback)
		return
	}
	f.options.Log.WithFields(logrus.Fields{
		"event": "catalog_adopted", "revision": next.Revision, "previous": old.Revision, "version": next.version(),
		"targets": len(next.Targets), "stores": len(next.Stores), "partial": transfer.Partial, "source": source,
	}).Info("catalog adopted")
	f.publish(old, next, source)
}

// publish replaces the view, and logs a change of the evacuated data centres.
func (f *Follower) publish(old, next *View, source string) {
	f.view.Store(next)
	if !slices.Equal(old.Evacuations.DataCentres, next.Evacuations.DataCentres) {
		f.options.Log.WithFields(logrus.Fields{
			"event": "evacuations_adopted", "evacuated": strings.Join(next.Evacuations.DataCentres, ","),
			"evacuation_revision": next.Evacuations.Revision, "source": source,
		}).Info("evacuated data centres changed")
	}
	if f.options.OnChange != nil {
		f.options.OnChange(next)
	}
}
