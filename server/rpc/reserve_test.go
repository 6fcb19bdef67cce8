package rpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLargeFramesAreReserved guards against a peer whose large messages, or whose length prefix
// alone, make the process exceed its memory.
func TestLargeFramesAreReserved(t *testing.T) {
	var held, peak int
	errFull := errors.New("full")
	r := &reservation{}
	r.SetReserve(func(_ context.Context, n int) (func(), error) {
		if n > 1<<20 {
			return nil, errFull
		}
		held += n
		peak = max(peak, held)
		return func() { held -= n }, nil
	})
	read := func(size int) error {
		var frame bytes.Buffer
		require.NoError(t, writeFrame(&frame, strings.Repeat("x", size)))
		var text string
		err := readFrame(bufio.NewReader(&frame), &text, r)
		if err == nil {
			assert.Len(t, text, size)
		}
		return err
	}
	require.NoError(t, read(1<<10))
	assert.Zero(t, peak, "small frames need no reservation")
	require.NoError(t, read(200<<10))
	assert.GreaterOrEqual(t, peak, frameCopies*200<<10)
	assert.Zero(t, held)
	assert.ErrorIs(t, read(1<<20), errFull)
	require.NoError(t, readFrame(bufio.NewReader(strings.NewReader("\x02{}")), &struct{}{}, &reservation{}), "nothing is reserved by default")
}
