package ledger

import "time"

const (
	// pingInterval is the time without a message from the store VM, while requests are pending,
	// after which a ping is sent.
	pingInterval = 120 * time.Millisecond
	// silenceTimeout is the time without a message from the store VM, while requests
	// are pending, after which the connection is closed.
	silenceTimeout = 400 * time.Millisecond
	// settlingPingInterval and settlingSilenceTimeout are the same while only settlements are
	// outstanding. The interval is longer than answerDelay, so that a leader which answers gets
	// no pings for them.
	settlingPingInterval   = 300 * time.Millisecond
	settlingSilenceTimeout = 800 * time.Millisecond
	// idlePingInterval and idleSilenceTimeout are the same while no request is pending. The
	// store VM closes a connection on which it receives nothing for rpc.SilenceTimeout.
	idlePingInterval   = time.Second
	idleSilenceTimeout = 2 * time.Second
)

// linkUse is what an entry expects from the store VM.
type linkUse int

const (
	linkIdle linkUse = iota
	linkSettling
	linkPending
)

// use returns what the entry expects now. The caller holds l.mu.
func (l *clientLink) use() linkUse {
	if len(l.pendingAdmissions) > 0 || l.pendingConfirms > 0 || len(l.pendingKeeps) > 0 {
		return linkPending
	}
	if tracker := l.settlements.Load(); tracker != nil && tracker.len() > 0 {
		return linkSettling
	}
	return linkIdle
}

// monitor sends pings while no other messages arrive, rarely if no request is pending, and
// fails the connection if the store VM remains silent.
func (l *clientLink) monitor() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	before := linkIdle
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		use := l.use()
		if use > before {
			// The silence timeout starts at the first check with a pending request or settlement.
			l.lastReceived = time.Now()
		}
		before = use
		quiet := time.Since(l.lastReceived)
		l.removeExpiredConfirmations()
		l.mu.Unlock()
		interval, timeout := idlePingInterval, idleSilenceTimeout
		switch use {
		case linkPending:
			interval, timeout = pingInterval, silenceTimeout
		case linkSettling:
			interval, timeout = settlingPingInterval, settlingSilenceTimeout
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
