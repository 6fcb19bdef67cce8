package forward

import (
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/coord/quarantine"
	ledgerhost "hemlockvale.dev/server/ledger"
)

// reportLoss tells the ledger if the response of the granted target was lost, which may be
// because the request ended the target. A VM that has lost its links does so too: it can't
// tell whether all targets have ended.
func (x *exchange) reportLoss(result dispatch.Result) {
	if !x.unanswered || result == dispatch.Completed || result == dispatch.Failed {
		return
	}
	x.unanswered = false
	kind := x.lossKind(result)
	if kind == quarantine.Unfinished && x.headReceived {
		// The target was sending its response.
		return
	}
	if kind == quarantine.Silence && result == dispatch.Broken {
		x.reportBreak()
	}
	content := quarantine.Content{Fingerprint: x.fingerprint()}
	if x.organisation != nil {
		content.Organisation = x.organisation.Name
	}
	x.entry.options.Ledger.ReportLoss(ledgerhost.LossReport{Request: x.call.ID, Loss: quarantine.Loss{
		Content: content, Incarnation: incarnationOf(x.granted),
		Address: x.granted.Address, Ran: time.Since(x.grantedAt), Kind: kind,
	}})
}

// lossKind returns how the response of the granted target was lost.
func (x *exchange) lossKind(result dispatch.Result) quarantine.LossKind {
	switch {
	case x.entry.paths.isSilent(x.granted.Target, x.sentAt):
		return quarantine.Silence
	case x.ctx.Err() != nil || result == dispatch.Abandoned:
		return quarantine.Unfinished
	}
	return quarantine.Disconnected
}
