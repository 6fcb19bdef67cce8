package history

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/compact"
)

// These are the paths of the store VM's HTTP interface. Requests and responses are
// encoded by package compact, because records are too large for JSON.
const (
	pathStage = "/v1/records/stage"
	pathWrite = "/v1/records/write"
	pathRead  = "/v1/records/read"
	pathCopy  = "/v1/records/copy"
	pathSeal  = "/v1/records/seal"
)

const (
	// maxMessageBytes bounds one request or response.
	maxMessageBytes = MaxContentBytes + 1<<20
	// maxReadBytes is the size at which a response to a read gets no further records.
	maxReadBytes = 2 << 20
)

// stageRequest announces the first part of a record, while the turn is still running. The
// store VM keeps it in memory for the writeRequest.
type stageRequest struct {
	Turn history.Turn
	// Base is the previous turn. If it is set, the first part is the history of Base, as
	// the store VM holds it, followed by Content.
	Base    *history.Turn
	Content []byte
}

// writeRequest stores the record of one turn.
type writeRequest struct {
	Turn history.Turn
	// Staged is set if the history is the staged part followed by Content.
	Staged bool
	// Base is the previous turn. If it is set, the history is that of Base, as the store
	// VM holds it, followed by Content.
	Base      *history.Turn
	Retention time.Duration
	Content   []byte
}

// baseResponse is the response to a stageRequest or a writeRequest. BaseMissing is set if
// the request had no effect, because the VM does not hold Base or the staged part.
type baseResponse struct {
	BaseMissing bool
}

// readRequest reads the records of some turns.
type readRequest struct {
	Turns []history.Turn
}

// readResponse holds the records that the VM has. Records that would make the response
// too large are left out.
type readResponse struct {
	Records []Record
}

// copyRequest asks a VM to copy records from another VM.
type copyRequest struct {
	Turns []history.Turn
	// From is the address of the other VM.
	From string
}

// copyResponse names the turns that the VM holds now.
type copyResponse struct {
	Turns []history.Turn
}

// sealRequest makes a VM that is being retired refuse further records. The response, a
// sealResponse, follows the writes that the VM had accepted before. Earlier releases do not know
// the path.
type sealRequest struct{}

type sealResponse struct{}

// readMessage decodes a message of limited size.
func readMessage(r io.Reader, value any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return fmt.Errorf("message of more than %d bytes", maxMessageBytes)
	}
	return compact.Unmarshal(data, value)
}

// respond sends a response.
func respond(w http.ResponseWriter, value any) error {
	data, err := compact.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return err
	}
	_, err = w.Write(data)
	return err
}
