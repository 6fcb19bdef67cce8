package forward

import (
	"errors"
	"time"

	ledgerhost "hemlockvale.dev/server/ledger"
	"hemlockvale.dev/server/registry"
)

// errLateGrant reports that a request was not sent because its target is cold and the grant is too
// old. The leader may have granted the target's rate to others meanwhile.
var errLateGrant = errors.New("grant at a cold target is too old")

// coldTarget reports whether a view lists a target as cold.
func coldTarget(view *registry.View, id string, now time.Time) bool {
	if view.Table == nil {
		return false
	}
	t, listed := view.Target(id)
	return listed && t.ColdLeft(view.Table.Service(t.Service), now.UnixMilli()) > 0
}

// observeCold reports to the ledger that the target has stated in its response that it is cold.
func (x *exchange) observeCold(info ResponseInfo) {
	if info.ColdLeft > 0 && info.Signed && x.service.ColdPerSecond > 0 {
		x.entry.options.Ledger.ReportCold(ledgerhost.ColdStatement{Incarnation: incarnationOf(x.granted), Left: info.ColdLeft})
	}
}
