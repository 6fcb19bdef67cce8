package registry

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
)

// TestRestartsAroundAClockStep guards against an entry that is not listed after a restart because
// the time of day of its start is earlier than that of its predecessor, and against a report of an
// earlier process that arrives late and takes the place of the current one.
func TestRestartsAroundAClockStep(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{Machine: NewMachine(), Log: logrus.NewEntry(log)})
	report := func(started int64) { g.recordReport(VM{Node: "e", Role: "entry", Started: started}) }
	silence := func() {
		g.reports["e"].receivedAt = time.Now().Add(-missedWatches*watchTimeoutFor(1) - reportMargin)
	}
	listed := func() int64 {
		vms := g.liveVMs("entry")
		if len(vms) == 0 {
			return 0
		}
		return vms[0].Started
	}
	report(100)
	report(50)
	assert.EqualValues(t, 100, listed(), "a late report of an earlier process, while the current one reports")
	silence()
	assert.Zero(t, listed())
	report(50)
	assert.EqualValues(t, 50, listed(), "the clock was set back before this process started")
	report(100)
	assert.EqualValues(t, 50, listed(), "a late report of the predecessor")
	assert.False(t, g.refreshReport("e", 100))
	report(70)
	assert.EqualValues(t, 70, listed(), "a later process")
	silence()
	report(60)
	assert.EqualValues(t, 60, listed(), "another step")
	report(70)
	assert.EqualValues(t, 60, listed(), "a late report of the predecessor")
	silence()
	report(50)
	report(60)
	assert.EqualValues(t, 50, listed())
	silence()
	report(60)
	assert.EqualValues(t, 60, listed(), "the report of 50 was a late one that arrived while 60 was cut off")
	for started := range int64(3 * maxEnded) {
		report(1000 + started)
	}
	assert.Len(t, g.reports["e"].ended, maxEnded)
}
