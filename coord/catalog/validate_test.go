package catalog

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOddTargetsAreInvalid guards against targets whose address can't be dialled or whose
// numbers overflow where they are used.
func TestOddTargetsAreInvalid(t *testing.T) {
	valid := Target{ID: "t", Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedUnixMS: 1, Sequence: 1, State: Ready}
	assert.NoError(t, valid.Validate())
	for name, change := range map[string]func(*Target){
		"no id":            func(t *Target) { t.ID = "" },
		"no service":       func(t *Target) { t.Service = "" },
		"no port":          func(t *Target) { t.Address = "10.0.0.1" },
		"port too large":   func(t *Target) { t.Address = "10.0.0.1:99999" },
		"port 0":           func(t *Target) { t.Address = "10.0.0.1:0" },
		"negative port":    func(t *Target) { t.Address = "10.0.0.1:-1" },
		"no host":          func(t *Target) { t.Address = ":80" },
		"long service":     func(t *Target) { t.Service = strings.Repeat("s", 1000) },
		"long software":    func(t *Target) { t.Software = strings.Repeat("s", 1000) },
		"many slots":       func(t *Target) { t.Slots = math.MaxInt },
		"negative slots":   func(t *Target) { t.Slots = -1 },
		"late start":       func(t *Target) { t.StartedUnixMS = math.MaxInt64 },
		"negative start":   func(t *Target) { t.StartedUnixMS = math.MinInt64 },
		"negative counter": func(t *Target) { t.Sequence = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			odd := valid
			change(&odd)
			assert.Error(t, odd.Validate())
			skipped := 0
			assert.Equal(t, []Target{valid}, ValidTargets([]Target{odd, valid}, func(Target, error) { skipped++ }))
			assert.Equal(t, 1, skipped)
		})
	}
}
