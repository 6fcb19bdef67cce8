package ledger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
)

const (
	// linkDialTimeout bounds one connection attempt to a store VM.
	linkDialTimeout = 200 * time.Millisecond
	// confirmationRetention is how long the outcome of a reservation is kept for a call
	// of confirm.
	confirmationRetention = 10 * time.Second
)

// Error implements error: a notLeader message ends the connection that received it.
func (n notLeader) Error() string { return "this store VM is not the leader; leader: " + n.Leader }

var (
	errSilenceTimeout = errors.New("no message from the store VM within the silence timeout")
	errClosed         = errors.New("connection closed")
)

// admissionKey identifies a pending admission request.
type admissionKey struct {
	id      string
	attempt int
}

// confirmation is the outcome of a reservation, which may still be pending.
type confirmation struct {
	// done is closed when state is set.
	done      chan struct{}
	state     reservationState
	createdAt time.Time
}

// clientLink is the entry's side of a connection to the ledger's leader.
type clientLink struct {
	address string
	form    linkForm
	// members are the store VMs that hold a replica of the ledger.
	members   []string
	conn      net.Conn
	onFailure func(*clientLink, error)
	closed    chan struct{}

	// load is the load of the leader.
	load leaderLoad
	// settlements receives the acknowledgements of the leader; nil before the entry has
	// introduced itself. acknowledges is set once the leader has shown that it sends them.
	settlements  atomic.Pointer[settlementTracker]
	acknowledges atomic.Bool
	// introducedAt is when the entry introduced itself, on the boot clock. repeated is set once
	// settlements were sent as to a leader of an earlier release; only repeatDue uses it.
	introducedAt time.Duration
	repeated     bool

	writeMu sync.Mutex

	mu                sync.Mutex
	err               error
	pendingAdmissions map[admissionKey]chan AdmitResponse
	// pendingReserves holds the reservations that the pending first admissions request.
	pendingReserves map[admissionKey]*ledger.Reserve
	confirmations   map[string]*confirmation
	lastReceived    time.Time
	// pendingConfirms is the number of calls of confirm that wait for an outcome.
	pendingConfirms int
	// pendingKeeps holds the calls of keep that wait for an outcome, by number.
	// lastKeepNumber is the number of the latest call.
	pendingKeeps   map[uint64]chan keepState
	lastKeepNumber uint64
	// catalogRevision is the revision of the leader's catalog for the grants that follow; 0 if
	// it states none.
	catalogRevision uint64
}

// dialLink connects to a store VM and returns once the VM has confirmed that it is
// the leader. lostLeader is the address of a leader that this entry cannot reach, or empty.
// dialLink calls onFailure when the connection fails later.
func dialLink(address string, form linkForm, lostLeader string, onFailure func(*clientLink, error)) (*clientLink, error) {
	conn, err := net.DialTimeout("tcp", address, linkDialTimeout)
	if err != nil {
		return nil, err
	}
	l := &clientLink{
		address: address, form: form, conn: conn, onFailure: onFailure, closed: make(chan struct{}),
		pendingAdmissions: make(map[admissionKey]chan AdmitResponse), pendingReserves: make(map[admissionKey]*ledger.Reserve), confirmations: make(map[string]*confirmation), pendingKeeps: make(map[uint64]chan keepState), lastReceived: time.Now(),
	}
	r := bufio.NewReader(conn)
	if err := l.handshake(r, lostLeader); err != nil {
		conn.Close()
		return nil, err
	}
	go l.readLoop(r)
	go l.monitor()
	return l, nil
}

// handshake asks the store VM whether it is the leader.
func (l *clientLink) handshake(r *bufio.Reader, lostLeader string) error {
	if _, err := io.WriteString(l.conn, l.form.preface()); err != nil {
		return err
	}
	if err := l.send(kindPing, &hello{LostLeader: lostLeader}); err != nil {
		return err
	}
	if err := l.conn.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return err
	}
	k, payload, err := decode(r)
	if err != nil {
		return fmt.Errorf("%w: %w", errHandshake, err)
	}
	if err := l.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if k == kindPong {
		var greeting welcome
		err := compact.Unmarshal(payload, &greeting)
		l.members = greeting.Members
		if err == nil && l.form == earlierForm {
			err = l.send(kindNewRelease, nil)
		}
		return err
	}
	return l.handle(k, payload)
}

// send writes one message.
func (l *clientLink) send(k messageKind, value any) error {
	message, err := l.form.encode(k, value)
	if err != nil {
		return err
	}
	return l.write(message)
}

// sendAdmission writes an admission request, after its announcements if there are any.
func (l *clientLink) sendAdmission(r *AdmitRequest) error {
	message, err := l.form.encode(kindAdmit, r)
	if err == nil && r.SameProcess {
		var announcement []byte
		announcement, err = l.form.encode(kindSameProcess, &sameProcess{r.ID, r.Attempt})
		message = append(announcement, message...)
	}
	if err == nil && r.Affinity != 0 {
		var announcement []byte
		announcement, err = l.form.encode(kindAffinity, &affinity{r.ID, r.Attempt, r.Affinity})
		message = append(announcement, message...)
	}
	if err != nil {
		return err
	}
	return l.write(message)
}

func (l *clientLink) write(message []byte) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return err
	}
	_, err := l.conn.Write(message)
	return err
}

func (l *clientLink) readLoop(r *bufio.Reader) {
	for {
		k, payload, err := decode(r)
		if err == nil {
			payload, err = l.form.decoded(k, payload)
		}
		if err == nil {
			err = l.handle(k, payload)
		}
		if err != nil {
			l.onFailure(l, err)
			return
		}
	}
}

func (l *clientLink) handle(k messageKind, payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	switch k {
	case kindAdmitResponse:
		var response AdmitResponse
		if err := compact.Unmarshal(payload, &response); err != nil {
			return err
		}
		if response.Target != "" {
			response.CatalogRevision = l.catalogRevision
		}
		key := admissionKey{response.ID, response.Attempt}
		if ch := l.pendingAdmissions[key]; ch != nil {
			delete(l.pendingAdmissions, key)
			l.trackRelease(key, response)
			ch <- response
		}
	case kindReservationOutcome:
		var outcome reservationOutcome
		if err := compact.Unmarshal(payload, &outcome); err != nil {
			return err
		}
		l.resolveConfirmation(outcome)
	case kindKeepOutcome:
		var outcome keepOutcome
		if err := compact.Unmarshal(payload, &outcome); err != nil {
			return err
		}
		if ch := l.pendingKeeps[outcome.Number]; ch != nil {
			delete(l.pendingKeeps, outcome.Number)
			ch <- outcome.State
		}
	case kindLoad:
		var report loadReport
		if err := compact.Unmarshal(payload, &report); err != nil {
			return err
		}
		l.load.set(report.RefusedShare)
	case kindCatalogRevision:
		var stated catalogRevision
		if err := compact.Unmarshal(payload, &stated); err != nil {
			return err
		}
		l.catalogRevision = stated.Revision
	case kindSettled:
		var settled settledMessage
		if err := compact.Unmarshal(payload, &settled); err != nil {
			return err
		}
		l.acknowledges.Store(true)
		if tracker := l.settlements.Load(); tracker != nil {
			tracker.answered(settled)
		}
	case kindNotLeader:
		var n notLeader
		if err := compact.Unmarshal(payload, &n); err != nil {
			return err
		}
		return n
	}
	return nil
}

// resolveConfirmation records the outcome of a reservation. The caller holds l.mu.
func (l *clientLink) resolveConfirmation(outcome reservationOutcome) {
	c := l.confirmations[outcome.ID]
	if c == nil || c.state != 0 {
		return
	}
	c.state = outcome.State
	close(c.done)
}

// admit sends an admission request and waits for the response.
func (l *clientLink) admit(ctx context.Context, r AdmitRequest) (AdmitResponse, error) {
	key, ch := admissionKey{r.ID, r.Attempt}, make(chan AdmitResponse, 1)
	l.mu.Lock()
	l.pendingAdmissions[key] = ch
	if r.Reserve != nil && r.Attempt == 0 {
		l.pendingReserves[key] = r.Reserve
	}
	if r.Reserve != nil && l.confirmations[r.ID] == nil {
		l.confirmations[r.ID] = &confirmation{done: make(chan struct{}), createdAt: time.Now()}
	}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pendingAdmissions, key)
		delete(l.pendingReserves, key)
	}()
	if err := l.sendAdmission(&r); err != nil {
		return AdmitResponse{}, err
	}
	select {
	case response := <-ch:
		return response, nil
	case <-l.closed:
		return AdmitResponse{}, l.closeReason()
	case <-ctx.Done():
		return AdmitResponse{}, ctx.Err()
	}
}

// confirm waits for the outcome of a reservation, and requests it if the reservation
// was made over another connection.
func (l *clientLink) confirm(ctx context.Context, r ledger.Reserve) (reservationState, error) {
	l.mu.Lock()
	c := l.confirmations[r.Request]
	isNew := c == nil
	if isNew {
		c = &confirmation{done: make(chan struct{}), createdAt: time.Now()}
		l.confirmations[r.Request] = c
	}
	l.pendingConfirms++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pendingConfirms--
		delete(l.confirmations, r.Request)
	}()
	if isNew {
		if err := l.send(kindConfirm, &r); err != nil {
			return 0, err
		}
	}
	select {
	case <-c.done:
		return c.state, nil
	case <-l.closed:
		return 0, l.closeReason()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// keep requests to record the holders of a turn and waits for the outcome.
func (l *clientLink) keep(ctx context.Context, k history.Keep) (keepState, error) {
	ch := make(chan keepState, 1)
	l.mu.Lock()
	l.lastKeepNumber++
	number := l.lastKeepNumber
	l.pendingKeeps[number] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.pendingKeeps, number)
	}()
	if err := l.send(kindKeep, &keepRequest{Number: number, Keep: k}); err != nil {
		return 0, err
	}
	select {
	case state := <-ch:
		return state, nil
	case <-l.closed:
		return 0, l.closeReason()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// close closes the connection; pending requests fail with err.
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
	close(l.closed)
	l.conn.Close()
}

func (l *clientLink) closeReason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}
