package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestWritesDuringClose guards against a process that panics when it ends, because one of its
// goroutines still logs, and against queued lines that Close loses.
func TestWritesDuringClose(t *testing.T) {
	for range 50 {
		var out bytes.Buffer
		w := NewAsyncWriter(&out)
		for range 100 {
			_, _ = w.Write([]byte("before\n"))
		}
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for range 100 {
					_, _ = w.Write([]byte("during\n"))
				}
			})
		}
		w.Close()
		wg.Wait()
		_, _ = w.Write([]byte("after\n"))
		assert.Equal(t, 100, strings.Count(out.String(), "before\n"))
	}
}
