package ledger

import "time"

const (
	// pingInterval is the time without a message from the store VM, while requests are pending,
	// after which a ping is sent.
	pingInterval = 120 * time.Millisecond
	// silenceTimeout is the time without a message from the store VM, while requests or
	// settlements are pending, after which the connection is closed.
	silenceTimeout = 400 * time.Millisecond
	// idlePingInterval and idleSilenceTimeout are the same while no request is pending. The
	// store VM closes a connection on which it receives nothing for rpc.SilenceTimeout.
	idlePingInterval   = time.Second
	idleSilenceTimeout = 2 * time.Second
)

// monitor sends pings while no other messages arrive, rarely if no request is pending, and
// fails the connection if the store VM remains silent.
func (l *clientLink) monitor() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	wasIdle := true
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		tracker := l.settlements.Load()
		pending := len(l.pendingAdmissions) > 0 || l.pendingConfirms > 0 || len(l.pendingKeeps) > 0 || tracker != nil && tracker.len() > 0
		if pending && wasIdle {
			// The silence timeout starts at the first check with a pending request.
			l.lastReceived = time.Now()
		}
		wasIdle = !pending
		quiet := time.Since(l.lastReceived)
		l.removeExpiredConfirmations()
		l.mu.Unlock()
		interval, timeout := idlePingInterval, idleSilenceTimeout
		if pending {
			interval, timeout = pingInterval, silenceTimeout
		}
		switch {
		case quiet < interval:
			// A response shows as much as a pong.
		case quiet > timeout:
			l.onFailure(l, errSilenceTimeout)
			return
		default:
			if err := l.send(kindPing, nil); err != nil {
				l.onFailure(l, err)
				return
			}
		}
	}
}

// removeExpiredConfirmations removes confirmations older than confirmationRetention,
// whose turns have usually ended. The caller holds l.mu.
func (l *clientLink) removeExpiredConfirmations() {
	for id, c := range l.confirmations {
		if time.Since(c.createdAt) > confirmationRetention {
			delete(l.confirmations, id)
		}
	}
}
