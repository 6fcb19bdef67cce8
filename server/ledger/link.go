package ledger

import (
	"bufio"
	"net"
	"slices"
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
	host   *Host
	conn   net.Conn
	queue  chan []byte
	closed chan struct{}
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
		case h.canAdmit():
			p.send(kindPong, &welcome{Members: h.options.Quorum.Addresses()})
		case now < p.until && (self || leader == "" || leader == p.lostLeader):
			return false
		default:
			p.sendNotLeader()
		}
		return true
	})
}

// entryHost returns the host of the entry.
func (l *link) entryHost() string {
	address := l.conn.RemoteAddr().String()
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
func (h *Host) serveLink(netConn net.Conn, r *bufio.Reader) {
	l := &link{host: h, conn: netConn, queue: make(chan []byte, linkQueueSize), closed: make(chan struct{})}
	go l.writeLoop()
	defer func() {
		close(l.closed)
		netConn.Close()
	}()
	for {
		k, payload, err := decode(r)
		if err != nil {
			return
		}
		if err := l.handle(k, payload); err != nil {
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
			return w.Flush()
		}
	}
}

// send queues a message. It never blocks: if the queue is full, the connection is
// closed.
func (l *link) send(k messageKind, value any) {
	message, err := encode(k, value)
	if err != nil {
		l.host.options.Log.WithField("event", "link_encode_failed").WithError(err).Error("message not sent")
		return
	}
	select {
	case l.queue <- message:
	default:
		l.conn.Close()
	}
}

func (l *link) handle(k messageKind, payload []byte) error {
	h := l.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if k == kindPing && len(payload) > 0 {
		var greeting hello
		if err := compact.Unmarshal(payload, &greeting); err != nil {
			return err
		}
		h.parked = append(h.parked, parkedLink{l, greeting.LostLeader, bootclock.Now() + maxParkTime})
		h.answerParked()
		return nil
	}
	if !h.canAdmit() {
		l.sendNotLeader()
		return nil
	}
	return l.handleRequest(k, payload)
}

// handleRequest handles a message while this VM admits requests. The caller holds h.mu.
func (l *link) handleRequest(k messageKind, payload []byte) error {
	h := l.host
	switch k {
	case kindPing:
		l.send(kindPong, nil)
	case kindAdmit:
		return handleMessage(payload, func(r AdmitRequest) { h.admit(&admission{request: r, link: l}) })
	case kindConfirm:
		return handleMessage(payload, func(r ledger.Reserve) { h.confirm(r, l) })
	case kindKeep:
		return handleMessage(payload, func(r keepRequest) { h.keep(r, l) })
	case kindDone:
		return handleMessage(payload, func(r DoneReport) { h.done(l.entryHost(), r) })
	case kindTargetRates:
		return handleMessage(payload, h.recordRates)
	case kindLeaving:
		return handleMessage(payload, func(targets []catalog.Incarnation) { h.recordLeaving(l.entryHost(), targets) })
	case kindLosses:
		return handleMessage(payload, func(losses []LossReport) { h.recordLosses(l.entryHost(), losses) })
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
