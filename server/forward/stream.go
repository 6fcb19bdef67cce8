package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"hemlockvale.dev/coord/dispatch"
	"hemlockvale.dev/server/integrity"
)

// heardInterval is the time after which an event counts again as a sign of its target.
const heardInterval = 200 * time.Millisecond

const (
	// maxEventBytes bounds the encoded size of one event of a stream.
	maxEventBytes = 1 << 20
	// smallEventBytes is the size up to which an event needs no reservation: it is a part of
	// exchangeBytes, so that no event of usual size costs one.
	smallEventBytes = 4 << 10
	// eventCopies is the number of times that an event is held: as it was read, and the values
	// of its data fields.
	eventCopies = 2
)

// event is one server-sent event, including the empty line that ends it.
type event struct {
	raw []byte
	id  string
	// hasData is true if the event has a data field, and not only comments. data holds the
	// values of its data fields, joined by line feeds.
	hasData bool
	data    []byte
}

var (
	errEventTooLarge = errors.New("event is too large")
	// errNoEvent is returned for a stream whose end shows by nothing but the end of its connection,
	// before it has brought an event that is new.
	errNoEvent = errors.New("stream ended with its connection before its first event")
)

// readEvent reads one whole event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends inside of one. Events of more than
// smallEventBytes are reserved.
func readEvent(r *bufio.Reader, reserve func(n int) error) (event, error) {
	var e event
	reserved := smallEventBytes
	for {
		start := len(e.raw)
		if err := e.appendLine(r, &reserved, reserve); err != nil {
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e, err
		}
		text := bytes.TrimRight(e.raw[start:], "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		if value, ok := dataField(text); ok {
			if e.hasData {
				e.data = append(e.data, '\n')
			}
			e.hasData = true
			e.data = append(e.data, value...)
		}
	}
}

// dataField returns the value of a data field, and whether the line is one. One space
// after the colon does not belong to the value.
func dataField(line []byte) ([]byte, bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) != "data" {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

// appendLine reads one line with its ending. The event stays below maxEventBytes even if
// the line never ends.
func (e *event) appendLine(r *bufio.Reader, reserved *int, reserve func(n int) error) error {
	for {
		part, err := r.ReadSlice('\n')
		if len(e.raw)+len(part) > *reserved && *reserved < maxEventBytes {
			// The buffer is doubled as well, and the values of the data fields are a copy.
			if err := reserve(eventCopies * *reserved); err != nil {
				return err
			}
			*reserved *= 2
		}
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventBytes {
			return errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// relayStream relays each event to the caller as it arrives, except those that the
// caller already has.
func (x *exchange) relayStream(response *http.Response) (dispatch.Result, error) {
	defer x.releaseEvent()
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	controller := http.NewResponseController(x.writer)
	heardAt := time.Now()
	for hasNew := false; ; {
		x.releaseEvent()
		drainedAt := x.drainedAt(reader)
		e, err := readEvent(reader, x.reserveEvent)
		if errors.Is(err, io.EOF) {
			if !hasNew && integrity.FramingOf(response) == integrity.Connection {
				return dispatch.Broken, errNoEvent
			}
			if !x.responseStarted {
				x.writeHeader(response)
			}
			return dispatch.Completed, nil
		}
		if err != nil {
			x.countClosed(err)
			return lostResult(err), err
		}
		x.reportSending(drainedAt)
		if time.Since(heardAt) > heardInterval {
			heardAt = time.Now()
			x.entry.paths.heard(x.granted.Target)
		}
		x.prepareKeep()
		if err := x.awaitReservation(); err != nil {
			return dispatch.Abandoned, err
		}
		if !x.responseStarted {
			x.writeHeader(response)
		}
		if x.isDuplicate(e) {
			continue
		}
		hasNew = hasNew || e.hasData
		if x.origin == nil {
			x.origin = &dispatch.Origin{Service: x.service.Name, Software: x.granted.Software}
		}
		if err := x.recordOutput(e); err != nil {
			return lostResult(err), err
		}
		if e.id != "" {
			x.lastEventID = e.id
		}
		if x.callerHas(e) {
			continue
		}
		if e.hasData {
			x.events++
		}
		if err := x.writeEvent(controller, e); err != nil {
			return dispatch.Abandoned, err
		}
	}
}

// writeEvent writes an event to the caller. It waits until the caller reads, so that the target
// is not read faster.
func (x *exchange) writeEvent(controller *http.ResponseController, e event) error {
	_, err := x.writer.Write(e.raw)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		x.noteCallerLost(err)
	}
	return err
}

// isDuplicate reports whether the event has been read before.
func (x *exchange) isDuplicate(e event) bool { return notAfter(e.id, x.lastEventID) }

// callerHas reports whether the caller has received the event with an earlier request. On
// a route that keeps histories the target repeats the whole stream, because all of its
// output belongs to the history.
func (x *exchange) callerHas(e event) bool {
	return x.route.KeepsHistory && notAfter(e.id, x.call.LastEventID)
}

// notAfter reports whether an event id is at most another one. It returns false for ids
// that are not integers.
func notAfter(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	lastN, lastErr := strconv.ParseInt(last, 10, 64)
	return err == nil && lastErr == nil && n <= lastN
}
