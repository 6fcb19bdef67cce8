package ledger

import (
	"bufio"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockvale.dev/coord/ledger"
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
	if !h.canAdmit() {
		_, address, _ := h.options.Quorum.Leader()
		l.send(kindNotLeader, &notLeader{Leader: address})
		return nil
	}
	switch k {
	case kindPing:
		l.send(kindPong, nil)
	case kindAdmit:
		var r AdmitRequest
		if err := compact.Unmarshal(payload, &r); err != nil {
			return err
		}
		h.admit(&admission{request: r, link: l})
	case kindConfirm:
		var r ledger.Reserve
		if err := compact.Unmarshal(payload, &r); err != nil {
			return err
		}
		h.confirm(r, l)
	case kindKeep:
		var r keepRequest
		if err := compact.Unmarshal(payload, &r); err != nil {
			return err
		}
		h.keep(r, l)
	case kindDone:
		var r DoneReport
		if err := compact.Unmarshal(payload, &r); err != nil {
			return err
		}
		h.done(r)
	}
	return nil
}
