package ledger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
)

const (
	// linkDialTimeout bounds a connection attempt to a store VM.
	linkDialTimeout = 200 * time.Millisecond
	// pingInterval is the time between pings while a question is open.
	pingInterval = 120 * time.Millisecond
	// silenceTimeout is how long a store VM may say nothing while a question is open.
	silenceTimeout = 400 * time.Millisecond
	// confirmMemory is how long the outcome of a reservation is kept for its turn.
	confirmMemory = 10 * time.Second
)

// Error makes notLeader the error of a connection to a store VM that does not lead.
func (n notLeader) Error() string { return "this store VM does not lead; leader: " + n.Leader }

var (
	errSilent = errors.New("store VM fell silent")
	errClosed = errors.New("connection was given up")
)

// question identifies an open admission.
type question struct {
	id      string
	attempt int
}

// confirmation is the outcome of a reservation that an entry waits for.
type confirmation struct {
	known chan struct{}
	state durableState
	began time.Time
}

// clientLink is the connection of this entry to the ledger's leader.
type clientLink struct {
	address string
	conn    net.Conn
	onLost  func(*clientLink, error)
	ended   chan struct{}

	writeMu sync.Mutex

	mu       sync.Mutex
	err      error
	open     map[question]chan AdmitResponse
	confirms map[string]*confirmation
	heard    time.Time
	// waiting is the number of turns that wait for their reservation.
	waiting int
}

// dialLink connects to a store VM and returns once it has said that it leads.
func dialLink(address string, onLost func(*clientLink, error)) (*clientLink, error) {
	if address == "" {
		return nil, errors.New("no store VM is known")
	}
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	if err != nil {
		return nil, err
	}
	l := &clientLink{
		address: address, conn: conn, onLost: onLost, ended: make(chan struct{}),
		open: make(map[question]chan AdmitResponse), confirms: make(map[string]*confirmation), heard: time.Now(),
	}
	r := bufio.NewReader(conn)
	if err := l.greet(r); err != nil {
		conn.Close()
		return nil, err
	}
	go l.read(r)
	go l.supervise()
	return l, nil
}

// greet asks the store VM whether it leads.
func (l *clientLink) greet(r *bufio.Reader) error {
	if _, err := io.WriteString(l.conn, Preface); err != nil {
		return err
	}
	if err := l.send(kindPing, nil); err != nil {
		return err
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return err
	}
	k, payload, err := decode(r)
	if err != nil {
		return err
	}
	if err := l.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return l.handle(k, payload)
}

// send writes one message.
func (l *clientLink) send(k kind, value any) error {
	message, err := encode(k, value)
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return err
	}
	_, err = l.conn.Write(message)
	return err
}

func (l *clientLink) read(r *bufio.Reader) {
	for {
		k, payload, err := decode(r)
		if err == nil {
			err = l.handle(k, payload)
		}
		if err != nil {
			l.onLost(l, err)
			return
		}
	}
}

func (l *clientLink) handle(k kind, payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	switch k {
	case kindOutcome:
		var answer AdmitResponse
		if err := compact.Unmarshal(payload, &answer); err != nil {
			return err
		}
		q := question{answer.ID, answer.Attempt}
		if ch := l.open[q]; ch != nil {
			delete(l.open, q)
			ch <- answer
		}
	case kindDurable:
		var d durable
		if err := compact.Unmarshal(payload, &d); err != nil {
			return err
		}
		l.confirmed(d)
	case kindNotLeader:
		var n notLeader
		if err := compact.Unmarshal(payload, &n); err != nil {
			return err
		}
		return n
	}
	return nil
}

// confirmed records the outcome of a reservation; l.mu is held.
func (l *clientLink) confirmed(d durable) {
	c := l.confirms[d.ID]
	if c == nil || c.state != 0 {
		return
	}
	c.state = d.State
	close(c.known)
}

// admit asks for a target.
func (l *clientLink) admit(ctx context.Context, r AdmitRequest) (AdmitResponse, error) {
	q, ch := question{r.ID, r.Attempt}, make(chan AdmitResponse, 1)
	l.mu.Lock()
	l.open[q] = ch
	if r.Reserve != nil && l.confirms[r.ID] == nil {
		l.confirms[r.ID] = &confirmation{known: make(chan struct{}), began: time.Now()}
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, q)
	}()
	if err := l.send(kindAdmit, &r); err != nil {
		return AdmitResponse{}, err
	}
	select {
	case answer := <-ch:
		return answer, nil
	case <-l.ended:
		return AdmitResponse{}, l.failure()
	case <-ctx.Done():
		return AdmitResponse{}, ctx.Err()
	}
}

// confirm waits for the outcome of a reservation, and asks for it if it was
// made over another connection.
func (l *clientLink) confirm(ctx context.Context, r ledger.Reserve) (durableState, error) {
	l.mu.Lock()
	c := l.confirms[r.Request]
	ask := c == nil
	if ask {
		c = &confirmation{known: make(chan struct{}), began: time.Now()}
		l.confirms[r.Request] = c
	}
	l.waiting++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.waiting--
		delete(l.confirms, r.Request)
	}()
	if ask {
		if err := l.send(kindConfirm, &r); err != nil {
			return 0, err
		}
	}
	select {
	case <-c.known:
		return c.state, nil
	case <-l.ended:
		return 0, l.failure()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// supervise pings while a question is open and gives up a silent connection.
func (l *clientLink) supervise() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	idle := true
	for {
		select {
		case <-l.ended:
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		asking := len(l.open) > 0 || l.waiting > 0
		if asking && idle {
			// Silence counts from the first look at which a question was open.
			l.heard = time.Now()
		}
		idle = !asking
		silent := asking && time.Since(l.heard) > silenceTimeout
		l.forgetConfirms()
		l.mu.Unlock()
		switch {
		case silent:
			l.onLost(l, errSilent)
			return
		case asking:
			if err := l.send(kindPing, nil); err != nil {
				l.onLost(l, err)
				return
			}
		}
	}
}

// forgetConfirms drops outcomes whose turns have ended; l.mu is held.
func (l *clientLink) forgetConfirms() {
	for id, c := range l.confirms {
		if time.Since(c.began) > confirmMemory {
			delete(l.confirms, id)
		}
	}
}

// close ends the connection; open questions fail with err.
func (l *clientLink) close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	if err == nil {
		err = errClosed
	}
	l.err = err
	close(l.ended)
	l.conn.Close()
}

func (l *clientLink) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}
