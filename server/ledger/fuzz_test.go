package ledger

import (
	"bufio"
	"bytes"
	"testing"

	"hemlockvale.dev/coord/ledger"
	"hemlockvale.dev/server/compact"
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
	// An admission request whose list of prompt parts claims to have 2^32 - 1 elements.
	f.Add([]byte{0x0c, byte(kindAdmit), 0x95, 0xdc, 0x00, 0x10, 0xa0, 0xa0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		k, payload, err := decode(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var values = map[messageKind]any{kindAdmit: &AdmitRequest{}, kindAdmitResponse: &AdmitResponse{}, kindConfirm: &ledger.Reserve{}, kindReservationOutcome: &reservationOutcome{}, kindDone: &DoneReport{}, kindNotLeader: &notLeader{}, kindKeep: &keepRequest{}, kindKeepOutcome: &keepOutcome{}}
		if value := values[k]; value != nil {
			// An error closes the connection as intended; only a panic is a failure.
			_ = compact.Unmarshal(payload, value)
		}
	})
}
