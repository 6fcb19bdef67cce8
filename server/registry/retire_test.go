package registry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/catalog"
)

// TestRetirementsCountEachOther guards against several retirements that together leave
// fewer store VMs than the tolerated losses need.
func TestRetirementsCountEachOther(t *testing.T) {
	var stores []VM
	for _, node := range []string{"a", "b", "c", "d", "e"} {
		stores = append(stores, VM{Node: node, RPCAddress: "address-" + node})
	}
	retirements := make(map[string]catalog.Retirement)
	for _, node := range []string{"a", "b"} {
		address, err := checkRetirement(stores, retirements, node, 3)
		require.NoError(t, err)
		assert.Equal(t, "address-"+node, address)
		retirements[node] = catalog.Retirement{Node: node, Done: node == "a"}
	}
	_, err := checkRetirement(stores, retirements, "c", 3)
	require.ErrorIs(t, err, ErrTooFewStores)
	_, err = checkRetirement(stores, retirements, "x", 3)
	require.ErrorIs(t, err, ErrUnknownNode)
}
