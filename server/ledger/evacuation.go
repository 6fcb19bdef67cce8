package ledger

import (
	"strings"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/registry"
)

// evacuationLog remembers what was logged last about evacuated data centres, so that there is
// one line for each change.
type evacuationLog struct {
	names string
	// exhausted is set while all targets that would accept requests are in evacuated data
	// centres.
	exhausted bool
}

// logEvacuations logs how many targets get no grants because of evacuations, if it has
// changed which data centres are evacuated or whether other targets are left. The caller holds
// h.mu.
func (h *Host) logEvacuations(view *registry.View, targets []dispatch.Target) {
	evacuated, left := 0, 0
	for _, t := range targets {
		switch {
		case t.Evacuated:
			evacuated++
		case !t.Draining:
			left++
		}
	}
	now := evacuationLog{strings.Join(view.Evacuations.DataCentres, ","), evacuated > 0 && left == 0}
	if now == h.evacuations {
		return
	}
	h.evacuations = now
	entry := h.options.Log.WithFields(logrus.Fields{"event": "evacuations_applied", "evacuated": now.names, "targets_evacuated": evacuated, "targets_left": left, "revision": view.Evacuations.Revision})
	if now.exhausted {
		entry.Warn("all targets are in evacuated data centres; requests are refused as not run")
		return
	}
	entry.Info("evacuated data centres changed for the grants of this VM")
}
