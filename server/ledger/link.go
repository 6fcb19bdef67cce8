package ledger

import (
	"bufio"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/catalog"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/bootclock"
	"hemlockvale.dev/server/compact"
)

const (
	// linkQueueSize bounds the number of messages that are queued for one entry. An
	// entry that does not read is disconnected; it repeats its requests over a new
	// connection.
	linkQueueSize = 1024
	// writeTimeout bounds one write to an entry.
	writeTimeout = time.Second
)

// link is the store VM's side of a connection from an entry.
type link struct {
	host *Host
	form linkForm
	conn net.Conn
	// entry is the host of the entry.
	entry  string
	queue  chan []byte
	closed chan struct{}
	// leadership is the one to which the entry has introduced itself; nil before.
	leadership atomic.Pointer[leadership]
	// announced is the latest announcement of a request; nil after the request.
	announced *sameProcess
	// announcedAffinity is the latest announcement of an affinity; the zero value after the request.
	announcedAffinity affinity
	// statedShare and statedAt describe the latest load report to the entry.
	statedShare float64
	statedAt    time.Duration
	// statedRevision is the revision of the latest catalogRevision message; 0 before the first.
	statedRevision uint64
	// entryID is settlementList.Entry, and acknowledges is set if the entry gets acknowledgements.
	// Both are protected by the host's mu.
	entryID      string
	acknowledges bool
	// superseded is set once the entry has another connection.
	superseded atomic.Bool

	answersMu sync.Mutex
	// answers are those to settlements that were not sent yet, the first since answeredAt.
	answers    settledMessage
	answeredAt time.Duration
}

// served reports whether this VM is still the leader to which the entry has introduced itself,
// and whether this is the entry's latest connection. The entry has to introduce itself to each
// new leader.
func (l *link) served() bool {
	if l.superseded.Load() {
		return false
	}
	current := l.leadership.Load()
	return current != nil && current == l.host.leadership.Load() && l.host.leads()
}

// maxParkTime bounds how long the first ping of a connection waits for a leader. It is
// shorter than the silence timeout of entries.
const maxParkTime = 250 * time.Millisecond

// parkedLink is a connection whose first ping waits until a leader is known.
type parkedLink struct {
	*link
	// lostLeader is the address of a leader that the entry cannot reach.
	lostLeader string
	// until is the end of the wait on the boot clock.
	until time.Duration
}

// answerParked responds to the first pings of connections for which a leader is known or
// whose wait has ended. The caller holds h.mu.
func (h *Host) answerParked() {
	now := bootclock.Now()
	_, leader, self := h.options.Quorum.Leader()
	h.parked = slices.DeleteFunc(h.parked, func(p parkedLink) bool {
		switch {
		case h.leads() && h.options.View().Revision > 0:
			p.leadership.Store(h.leadership.Load())
			p.send(kindPong, &welcome{Members: h.options.Quorum.Addresses()})
		case now < p.until && (self || leader == "" || leader == p.lostLeader):
			return false
		default:
			p.sendNotLeader()
		}
		return true
	})
}

func (h *Host) addLink(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links[l] = struct{}{}
}

func (h *Host) removeLink(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.links, l)
	if l.acknowledges && !l.superseded.Load() {
		// Settlements that were lost with the connection follow on the entry's next one.
		h.settling.Lost(bootclock.Now(), l.entryID)
	}
}

// dropLinks sends entries that have introduced themselves to an earlier leadership to the
// current leader, even if they have no request for it. The caller holds h.mu.
func (h *Host) dropLinks() {
	for l := range h.links {
		if l.leadership.Load() != nil && !l.served() {
			l.sendNotLeader()
			delete(h.links, l)
		}
	}
}

// hostOf returns the host of the other side of a connection.
func hostOf(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// sendNotLeader names the leader, as far as this VM knows it.
func (l *link) sendNotLeader() {
	_, leader, _ := l.host.options.Quorum.Leader()
	l.send(kindNotLeader, &notLeader{Leader: leader, Members: l.host.options.Quorum.Addresses()})
}

// serveLink handles the messages of an entry until the connection closes.
func (h *Host) serveLink(form linkForm, netConn net.Conn, r *bufio.Reader) {
	l := &link{host: h, form: form, conn: netConn, entry: hostOf(netConn), queue: make(chan []byte, linkQueueSize), closed: make(chan struct{})}
	go l.writeLoop()
	h.addLink(l)
	defer func() {
		h.removeLink(l)
		close(l.closed)
		netConn.Close()
	}()
	for {
		k, payload, err := decode(r)
		if err != nil {
			return
		}
		payload, err = l.form.decoded(k, payload)
		if err == nil {
			err = l.handle(k, payload)
		}
		if err != nil {
			h.options.Log.WithFields(logrus.Fields{"event": "link_message_rejected", "from": netConn.RemoteAddr().String()}).WithError(err).Warn("cannot decode a message from an entry")
			return
		}
	}
}

// writeLoop writes the queued messages. Messages that are queued at the same time
// share one write.
func (l *link) writeLoop() {
	w := bufio.NewWriter(l.conn)
	for {
		select {
		case <-l.closed:
			return
		case message := <-l.queue:
			if l.flush(w, message) != nil {
				l.conn.Close()
				return
			}
		}
	}
}

func (l *link) flush(w *bufio.Writer, message []byte) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if _, err := w.Write(message); err != nil {
			return err
		}
		select {
		case message = <-l.queue:
		default:
			if _, err := w.Write(l.takeAnswers(math.MaxInt64)); err != nil {
				return err
			}
			return w.Flush()
		}
	}
}

// send queues a message. It never blocks: if the queue is full, the connection is
// closed.
func (l *link) send(k messageKind, value any) {
	message, err := l.form.encode(k, value)
	if err != nil {
		l.host.options.Log.WithField("event", "link_encode_failed").WithError(err).Error("message not sent")
		return
	}
	l.sendEncoded(message)
}

func (l *link) sendEncoded(message []byte) {
	select {
	case l.queue <- message:
	default:
		l.conn.Close()
	}
}

// sendResponse sends the outcome of an admission. Before a grant, it states the revision of the
// catalog if that differs from the one that the entry knows, also if it is lower: the outcome of a
// repeated request may be older than that of another one. The caller holds h.mu.
func (l *link) sendResponse(r *AdmitResponse) {
	if r.CatalogRevision != 0 && r.CatalogRevision != l.statedRevision {
		l.statedRevision = r.CatalogRevision
		l.send(kindCatalogRevision, &catalogRevision{r.CatalogRevision})
	}
	l.send(kindAdmitResponse, r)
}

// handle handles a message of the entry. Pings and admissions don't wait for h.mu, which the
// decider holds.
func (l *link) handle(k messageKind, payload []byte) error {
	h := l.host
	if k == kindPing && len(payload) > 0 {
		return handleMessage(payload, l.greet)
	}
	if !l.served() {
		l.sendNotLeader()
		if k != kindDone || !h.leads() {
			return nil
		}
		// The settlement in a done report is valid in each leadership.
	}
	switch k {
	case kindPing:
		l.send(kindPong, nil)
		return nil
	case kindNewRelease:
		return l.conn.Close()
	case kindSameProcess:
		return handleMessage(payload, func(a sameProcess) { l.announced = &a })
	case kindAffinity:
		return handleMessage(payload, func(a affinity) { l.announcedAffinity = a })
	case kindAdmit:
		announced, announcedAffinity := l.announced, l.announcedAffinity
		l.announced, l.announcedAffinity = nil, affinity{}
		return handleMessage(payload, func(r AdmitRequest) {
			r.Affinity = announcedAffinity.of(&r)
			r.SameProcess = announced != nil && *announced == sameProcess{r.ID, r.Attempt}
			h.receive(r, l)
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return l.handleReport(k, payload)
}

// greet answers the first ping of an entry once a leader is known.
func (l *link) greet(greeting hello) {
	h := l.host
	h.mu.Lock()
	defer h.mu.Unlock()
	h.parked = append(h.parked, parkedLink{l, greeting.LostLeader, bootclock.Now() + maxParkTime})
	h.answerParked()
}

// handleReport handles a message that needs no lease. The caller holds h.mu.
func (l *link) handleReport(k messageKind, payload []byte) error {
	h := l.host
	if l.superseded.Load() && k != kindDone {
		// The entry has replaced the connection while this message waited for h.mu.
		return nil
	}
	switch k {
	case kindConfirm:
		return handleMessage(payload, func(r ledger.Reserve) { h.confirm(r, l) })
	case kindKeep:
		return handleMessage(payload, func(r keepRequest) { h.keep(r, l) })
	case kindDone:
		return handleMessage(payload, func(r DoneReport) {
			if r.Settle != nil {
				h.settle(l, *r.Settle)
			}
			h.done(l.entry, r)
		})
	case kindSettlements:
		return handleMessage(payload, func(list settlementList) { h.recordSettlements(l, list) })
	case kindTargetRates:
		return handleMessage(payload, h.recordRates)
	case kindLeaving:
		return handleMessage(payload, func(targets []catalog.Incarnation) { h.recordLeaving(l.entry, targets) })
	case kindLosses:
		return handleMessage(payload, func(losses []LossReport) {
			h.recordLosses(l.entry, losses)
			h.doubtLosses(l.reporter(), losses)
		})
	case kindBreaks:
		return handleMessage(payload, func(breaks []processBreak) { h.recordBreaks(l.reporter(), breaks) })
	case kindServing:
		return handleMessage(payload, func(serving []catalog.Incarnation) { h.recordServing(l.reporter(), serving) })
	case kindCold:
		return handleMessage(payload, h.recordCold)
	case kindOrigins:
		return handleMessage(payload, h.recordOrigins)
	}
	return nil
}

// handleMessage decodes the payload of a message and passes it to handle.
func handleMessage[T any](payload []byte, handle func(T)) error {
	var message T
	if err := compact.Unmarshal(payload, &message); err != nil {
		return err
	}
	handle(message)
	return nil
}
