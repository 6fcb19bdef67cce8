package ledger

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockvale.dev/coord/ledger"
)

// FuzzDecode guards against a malformed message from a faulty peer that makes the
// process panic.
func FuzzDecode(f *testing.F) {
	request := turnRequest("a", 100, 60)
	for k, value := range map[messageKind]any{kindAdmit: &request, kindDone: &DoneReport{ID: "a", Target: "t"}, kindNotLeader: &notLeader{Leader: "x"}} {
		message, err := encode(k, value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		k, payload, err := decode(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var values = map[messageKind]any{kindAdmit: &AdmitRequest{}, kindAdmitResponse: &AdmitResponse{}, kindConfirm: &ledger.Reserve{}, kindReservationOutcome: &reservationOutcome{}, kindDone: &DoneReport{}, kindNotLeader: &notLeader{}}
		if value := values[k]; value != nil {
			// An error closes the connection as intended; only a panic is a failure.
			_ = msgpack.Unmarshal(payload, value)
		}
	})
}
