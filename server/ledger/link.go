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
	// linkQueue bounds the messages that wait for one entry. An entry that does
	// not read is disconnected; it repeats its questions over a new connection.
	linkQueue = 1024
	// writeTimeout bounds one write.
	writeTimeout = time.Second
)

// link is the connection of one entry to this store VM.
type link struct {
	host  *Host
	conn  net.Conn
	queue chan []byte
	ended chan struct{}
}

// serveLink reads an entry's messages until the connection ends.
func (h *Host) serveLink(c net.Conn, r *bufio.Reader) {
	l := &link{host: h, conn: c, queue: make(chan []byte, linkQueue), ended: make(chan struct{})}
	go l.write()
	defer func() {
		close(l.ended)
		c.Close()
	}()
	for {
		k, payload, err := decode(r)
		if err != nil {
			return
		}
		if err := l.receive(k, payload); err != nil {
			h.o.Log.WithFields(logrus.Fields{"event": "link_message_rejected", "from": c.RemoteAddr().String()}).WithError(err).Warn("entry sent a message that cannot be read")
			return
		}
	}
}

// write combines queued messages into few writes.
func (l *link) write() {
	w := bufio.NewWriter(l.conn)
	for {
		select {
		case <-l.ended:
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

// send queues a message; it never blocks.
func (l *link) send(k kind, value any) {
	message, err := encode(k, value)
	if err != nil {
		l.host.o.Log.WithField("event", "link_encode_failed").WithError(err).Error("message not sent")
		return
	}
	select {
	case l.queue <- message:
	default:
		l.conn.Close()
	}
}

func (l *link) receive(k kind, payload []byte) error {
	h := l.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.leading() {
		_, address, _ := h.o.Quorum.Leader()
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
		h.admit(&call{request: r, link: l})
	case kindConfirm:
		var r ledger.Reserve
		if err := compact.Unmarshal(payload, &r); err != nil {
			return err
		}
		h.confirm(r, l)
	case kindDone:
		var e End
		if err := compact.Unmarshal(payload, &e); err != nil {
			return err
		}
		h.done(e)
	}
	return nil
}
