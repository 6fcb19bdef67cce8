package history

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestResponsesAreReserved guards against a long history that is read without a reservation, and
// against reservations that stay.
func TestResponsesAreReserved(t *testing.T) {
	const length = 500 << 10
	held, limit := 0, 4*length
	errFull := errors.New("full")
	newReader := func(n int) *reservingReader {
		return &reservingReader{source: strings.NewReader(strings.Repeat("x", n)), reserve: func(n int) (func(), error) {
			if held+n > limit {
				return nil, errFull
			}
			held += n
			return func() { held -= n }, nil
		}}
	}
	short := newReader(reserveStepBytes - 1)
	_, err := io.ReadAll(short)
	require.NoError(t, err)
	assert.Zero(t, held, "short responses need none")
	r := newReader(length)
	data, err := io.ReadAll(r)
	require.NoError(t, err)
	assert.Len(t, data, length)
	assert.GreaterOrEqual(t, held, responseCopies*(length-reserveStepBytes))
	r.release()
	assert.Zero(t, held)
	limit = length
	r = newReader(length)
	_, err = io.ReadAll(r)
	assert.ErrorIs(t, err, errFull)
	r.release()
	assert.Zero(t, held)
}
