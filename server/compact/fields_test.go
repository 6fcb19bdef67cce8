package compact

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type earlier struct {
	A string
	C map[string]int
	D *int
}

type later struct {
	A string
	B []string
	C map[string]int
	D *int
}

// TestFieldsAreConverted guards against messages of another release that lose or shift their
// fields.
func TestFieldsAreConverted(t *testing.T) {
	n := 7
	data, err := Marshal(earlier{"a", map[string]int{"x": 1}, &n})
	require.NoError(t, err)
	converted, err := InsertField(data, 1)
	require.NoError(t, err)
	var with later
	require.NoError(t, Unmarshal(converted, &with))
	assert.Equal(t, later{"a", nil, map[string]int{"x": 1}, &n}, with)
	with.B = []string{"lost"}
	data, err = Marshal(with)
	require.NoError(t, err)
	converted, err = RemoveField(data, 1)
	require.NoError(t, err)
	var without earlier
	require.NoError(t, Unmarshal(converted, &without))
	assert.Equal(t, earlier{"a", map[string]int{"x": 1}, &n}, without)
	data, err = Marshal(later{})
	require.NoError(t, err)
	converted, err = RemoveField(data, 1)
	require.NoError(t, err)
	require.NoError(t, Unmarshal(converted, &without), "fields that are nil")
	_, err = InsertField([]byte{1}, 0)
	assert.Error(t, err)
	_, err = RemoveField(converted, 3)
	assert.Error(t, err)
}
