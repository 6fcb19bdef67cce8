package forward

import (
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// mayReceive reports whether the catalog of a view allows a request to be sent to the granted
// target. The leader that granted it may follow the catalog with a delay, for example in the
// smaller half of a partition.
//
// The grant states the revision of the leader's catalog. A target that is missing in a view which
// is at least as new has left; one that is missing in an older view may have been added since.
func mayReceive(view *registry.View, grant ledgerhost.AdmitResponse) bool {
	if grant.CatalogRevision > view.Revision {
		return true
	}
	t, listed := view.Target(grant.Target)
	switch {
	case !listed:
		// Leaders of earlier releases state no revision, so their catalog may be newer.
		return grant.CatalogRevision == 0
	case grant.StartedUnixMS != 0 && grant.StartedUnixMS != t.StartedUnixMS:
		// A later incarnation replaces an earlier one for good.
		return grant.StartedUnixMS > t.StartedUnixMS
	}
	return t.State == catalog.Ready
}

// leaves reports whether the granted target accepts no new requests: it has stated so to this VM,
// or the latest catalog of this VM says so. A request may be in progress for long, so the view with
// which it was routed is not used.
func (x *exchange) leaves(grant ledgerhost.AdmitResponse) bool {
	if x.entry.leaving.has(incarnationOf(grant)) {
		return true
	}
	view := x.entry.options.View()
	if mayReceive(view, grant) {
		return false
	}
	x.entry.options.Log.WithFields(logrus.Fields{
		"event": "grant_declined", "request": x.call.ID, "target": grant.Target, "started": grant.StartedUnixMS,
		"granted_revision": grant.CatalogRevision, "revision": view.Revision,
	}).Info("the catalog of this VM does not allow a request at the granted target")
	gometrics.GetOrRegisterCounter("forward_grants_declined", x.entry.options.Metrics).Inc(1)
	return true
}
