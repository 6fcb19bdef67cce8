package ledger

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hemlockvale.dev/coord/dispatch"
)

const (
	// storeProcessEnv is the variable with the data directory of TestStoreProcess.
	storeProcessEnv = "HEMLOCKVALE_TEST_STORE"
	// surgeEntries is the number of entries, and surgeTargets that of the targets with
	// surgeSlots slots each.
	surgeEntries = 300
	surgeTargets = 83
	surgeSlots   = 6
	// runTime is how long a request runs at its target, and callerTime how long its caller
	// waits for it.
	runTime    = 40 * time.Millisecond
	callerTime = 1200 * time.Millisecond
	// sharePeriod and shareRunning are the period of the leader's processor and the part of it
	// in which the process runs.
	sharePeriod  = 15 * time.Millisecond
	shareRunning = 5 * time.Millisecond
	// ordinaryLoad and surgeLoad are the demand as a share of what the leader can decide.
	ordinaryLoad = 0.75
	surgeLoad    = 2.5
	// surgeTime is the length of the surge, and recoveryLimit the time after it within which
	// minServedAfterSurge of the requests must be served again.
	surgeTime           = 4 * time.Second
	recoveryLimit       = 3 * time.Second
	minServedAfterSurge = 0.95
	// minServedInSurge is the least share of its capacity that the leader serves in the surge.
	minServedInSurge = 0.6
)

// TestStoreProcess is the store VM of TestSurgeEnds, in a process of its own. It runs until its
// standard input is closed.
func TestStoreProcess(t *testing.T) {
	dir := os.Getenv(storeProcessEnv)
	if dir == "" {
		return
	}
	s := startStore(t, dir)
	s.awaitLeader(t)
	s.addBusyService(surgeTargets, surgeSlots)
	fmt.Println("address", s.address)
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}

// startStoreProcess starts TestStoreProcess and returns the store's address and the process.
func startStoreProcess(t *testing.T) (string, *os.Process) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestStoreProcess$")
	cmd.Env = append(os.Environ(), storeProcessEnv+"="+t.TempDir(), "GOMAXPROCS=1")
	stdin, err := cmd.StdinPipe()
	require.NoError(t, err)
	stdout, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		stdin.Close()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "address "); ok {
			return address, cmd.Process
		}
	}
	t.Fatal("the store process did not start")
	return "", nil
}

// limitShare lets a process run only for a part of each period until ctx ends.
func limitShare(ctx context.Context, p *os.Process) {
	for ctx.Err() == nil {
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(sharePeriod - shareRunning)
		_ = p.Signal(syscall.SIGCONT)
		time.Sleep(shareRunning)
	}
}

// lostLinks counts the log lines of clients that lost their leader.
type lostLinks struct{ n atomic.Int64 }

// Levels implements logrus.Hook.
func (*lostLinks) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (l *lostLinks) Fire(e *logrus.Entry) error {
	if e.Data["event"] == "ledger_contact" && e.Data["lost"] == true {
		l.n.Add(1)
	}
	return nil
}

// surgeCallers sends requests through many entries.
type surgeCallers struct {
	entries []*Client
	next    atomic.Int64
	wg      sync.WaitGroup
}

// call sends one request and reports whether it ran.
func (s *surgeCallers) call() bool {
	n := s.next.Add(1)
	entry := s.entries[n%int64(len(s.entries))]
	id := fmt.Sprint(n)
	r := turnRequest(id, 1000, 60)
	r.Service, r.Reserve.Program.ID, r.Program, r.ProgramTimeLeft, r.TimeLeft = "busy", id, id, time.Second, callerTime
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	response, err := entry.Admit(ctx, r)
	if err != nil || response.Target == "" {
		if err != nil {
			entry.Done(DoneReport{ID: id, Result: dispatch.Abandoned, Settle: Settlement(r.Reserve, 0)})
		}
		return false
	}
	time.Sleep(runTime)
	entry.Done(DoneReport{ID: id, Target: response.Target, Result: dispatch.Completed, Units: 50, Settle: Settlement(r.Reserve, 50)})
	return true
}

// capacity returns the number of requests per second that a few callers get done.
func (s *surgeCallers) capacity() float64 {
	const callers, duration = 200, 2 * time.Second
	var done atomic.Int64
	start := time.Now()
	for range callers {
		s.wg.Go(func() {
			for time.Since(start) < duration {
				if s.call() {
					done.Add(1)
				}
			}
		})
	}
	s.wg.Wait()
	return float64(done.Load()) / time.Since(start).Seconds()
}

// run sends requests at a rate for a time and returns counters of those sent and served, which
// grow until wait returns.
func (s *surgeCallers) run(perSecond float64, duration time.Duration) (sent int64, served *atomic.Int64) {
	served = new(atomic.Int64)
	start := time.Now()
	for elapsed := time.Duration(0); elapsed < duration; elapsed = time.Since(start) {
		for ; float64(sent) < perSecond*elapsed.Seconds(); sent++ {
			s.wg.Go(func() {
				if s.call() {
					served.Add(1)
				}
			})
		}
		time.Sleep(time.Millisecond)
	}
	return sent, served
}

// TestSurgeEnds guards against a leader that does not recover from a surge when demand is
// ordinary again: its lease lapses under load, and entries that lose it for that add to the load.
func TestSurgeEnds(t *testing.T) {
	address, store := startStoreProcess(t)
	log := logrus.New()
	log.SetOutput(discardLogger().Logger.Out)
	lost := &lostLinks{}
	log.AddHook(lost)
	callers := &surgeCallers{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range surgeEntries {
		c := NewClient(ClientOptions{Leader: func() string { return address }, Stores: func() []string { return []string{address} }, Log: logrus.NewEntry(log)})
		go c.Run(ctx)
		callers.entries = append(callers.entries, c)
	}
	go limitShare(ctx, store)
	capacity := callers.capacity()
	require.Positive(t, capacity)
	lost.n.Store(0)
	callers.run(ordinaryLoad*capacity, time.Second)
	_, surged := callers.run(surgeLoad*capacity, surgeTime)
	callers.run(ordinaryLoad*capacity, recoveryLimit)
	sent, served := callers.run(ordinaryLoad*capacity, 2*time.Second)
	callers.wg.Wait()
	t.Logf("capacity %.0f/s; served in the surge %d; after it %d of %d; connections lost %d", capacity, surged.Load(), served.Load(), sent, lost.n.Load())
	assert.GreaterOrEqual(t, float64(surged.Load()), minServedInSurge*capacity*surgeTime.Seconds())
	assert.GreaterOrEqual(t, float64(served.Load()), minServedAfterSurge*float64(sent))
	assert.Zero(t, lost.n.Load(), "connections lost")
}
