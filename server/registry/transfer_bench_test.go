package registry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

// BenchmarkTransfer reports the size in bytes of a transfer after one target has
// changed, and of a complete one, with the number of targets that is planned for the
// deployment.
func BenchmarkTransfer(b *testing.B) {
	const targets = 7400
	m := newMachine()
	for i := range uint64(targets) {
		t := catalog.Target{ID: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), StartedUnixMS: 1789906468896 + int64(i), Service: "agent-models", Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>14, i>>7&127, i&127), DataCentre: "be-central-a", Slots: 12, State: catalog.Ready}
		data, err := encodeCommand(catalog.Command{PutTarget: &t})
		require.NoError(b, err)
		m.Apply(i+1, data)
	}
	for _, known := range []uint64{0, targets - 1} {
		b.Run(fmt.Sprint("known=", known), func(b *testing.B) {
			size := 0
			for b.Loop() {
				clear(m.fetchResponses)
				response, err := m.fetch(FetchRequest{Revision: known})
				require.NoError(b, err)
				data, err := json.Marshal(response)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
