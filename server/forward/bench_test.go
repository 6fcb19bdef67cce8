package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	ledgerhost "hemlockvale.dev/server/ledger"
)

// fixedLedger grants one target to every request.
type fixedLedger struct {
	testLedger
	address string
}

func (l *fixedLedger) Admit(context.Context, ledgerhost.AdmitRequest) (ledgerhost.AdmitResponse, error) {
	return ledgerhost.AdmitResponse{Target: "t", Address: l.address}, nil
}

func (l *fixedLedger) Done(ledgerhost.DoneReport) {}

// BenchmarkRequest measures requests over a kept connection, with the work of the caller and
// of the target in the same process.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name string
		body int
	}{{"none", 0}, {"2KiB", 2 << 10}, {"32KiB", 32 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Signature", "s")
				_, _ = io.WriteString(w, "the answer")
			}))
			defer target.Close()
			server := startEntryFor(b, &fixedLedger{address: strings.TrimPrefix(target.URL, "http://")})
			payload := bytes.Repeat([]byte("x"), c.body)
			b.ReportAllocs()
			for b.Loop() {
				request, err := http.NewRequest(http.MethodPost, server.URL+"/again/x", bytes.NewReader(payload))
				if err != nil {
					b.Fatal(err)
				}
				request.Header.Set("Id", "r")
				request.Header.Set("Key", "k")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				if response.StatusCode != http.StatusOK {
					b.Fatal(response.Status)
				}
			}
		})
	}
}
