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
)

// heardInterval is the time after which an event counts again as a sign of its target.
const heardInterval = 200 * time.Millisecond

// maxEventBytes bounds the encoded size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event, including the empty line that ends it.
type event struct {
	raw []byte
	id  string
	// hasData is true if the event has a data field, and not only comments. data holds the
	// values of its data fields, joined by line feeds.
	hasData bool
	data    []byte
}

var errEventTooLarge = errors.New("event is too large")

// readEvent reads one whole event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends inside of one.
func readEvent(r *bufio.Reader) (event, error) {
	var e event
	for {
		start := len(e.raw)
		if err := e.appendLine(r); err != nil {
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
func (e *event) appendLine(r *bufio.Reader) error {
	for {
		part, err := r.ReadSlice('\n')
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
	reader := bufio.NewReaderSize(response.Body, readBufferBytes)
	controller := http.NewResponseController(x.writer)
	heardAt := time.Now()
	for {
		drainedAt := x.drainedAt(reader)
		e, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			if !x.responseStarted {
				x.writeHeader(response)
			}
			return dispatch.Completed, nil
		}
		if err != nil {
			return dispatch.Broken, err
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
		if x.origin == nil {
			x.origin = &dispatch.Origin{Service: x.service.Name, Software: x.granted.Software}
		}
		x.recordOutput(e)
		if e.id != "" {
			x.lastEventID = e.id
		}
		if x.callerHas(e) {
			continue
		}
		if e.hasData {
			x.events++
		}
		if _, err := x.writer.Write(e.raw); err != nil {
			return dispatch.Abandoned, err
		}
		if err := controller.Flush(); err != nil {
			return dispatch.Abandoned, err
		}
	}
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
