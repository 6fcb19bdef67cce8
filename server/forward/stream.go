package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"hemlockvale.dev/coord/dispatch"
)

// maxEventBytes bounds the encoded size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event, including the empty line that ends it.
type event struct {
	raw []byte
	id  string
	// hasData is true if the event has a data field, and not only comments.
	hasData bool
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
		e.hasData = e.hasData || bytes.HasPrefix(text, []byte("data"))
	}
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
	for {
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
		if err := x.awaitReservation(); err != nil {
			return dispatch.Abandoned, err
		}
		if !x.responseStarted {
			x.writeHeader(response)
		}
		if x.isDuplicate(e) {
			continue
		}
		if e.hasData {
			x.events++
		}
		if e.id != "" {
			x.lastEventID = e.id
		}
		if _, err := x.writer.Write(e.raw); err != nil {
			return dispatch.Abandoned, err
		}
		if err := controller.Flush(); err != nil {
			return dispatch.Abandoned, err
		}
	}
}

// isDuplicate reports whether the caller already has the event. Ids that are not
// integers are never duplicates.
func (x *exchange) isDuplicate(e event) bool {
	if e.id == "" || x.lastEventID == "" {
		return false
	}
	id, err := strconv.ParseInt(e.id, 10, 64)
	lastID, lastErr := strconv.ParseInt(x.lastEventID, 10, 64)
	return err == nil && lastErr == nil && id <= lastID
}
