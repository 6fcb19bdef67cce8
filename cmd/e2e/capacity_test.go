package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// settleTime is the time for the shards to form their replicas before a measurement.
	settleTime = 12 * time.Second
	// measureTime is the duration of a measurement. It is long compared with the poll
	// and heartbeat intervals.
	measureTime = 10 * time.Second
	// clockTicks is the number of clock ticks per second in which /proc reports CPU times.
	clockTicks = 100
)

// usage holds the resource usage of a process. For CPU time and RPC bytes, the method
// usage returns totals since the start of the process, and measure returns rates per
// second. The memory is the current value.
type usage struct {
	cpuSeconds float64
	rssBytes   float64
	rpcBytes   float64
}

// BenchmarkIdleFleet measures the CPU time, memory and RPC traffic of an entry and of the
// control leader without any calls, for several fleet sizes. The differences between the
// sizes give the slopes in docs/CAPACITY.md: the costs of each additional entry, shard and
// target.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []fleetSize{{3, 64, 4}, {12, 64, 4}, {12, 256, 4}, {24, 256, 4}, {24, 256, 24}} {
		b.Run(fmt.Sprintf("entries=%d/shards=%d/targets=%d", size.entries, size.shards, size.engines+1), func(b *testing.B) {
			f := startFleetOfSize(b, size)
			time.Sleep(settleTime)
			for b.Loop() {
				entry, leader := f.measure("entry-1"), f.measure(f.controlLeader())
				reportUsage(b, "entry", entry)
				reportUsage(b, "leader", leader)
			}
		})
	}
}

// measure returns the resource usage of one process during measureTime: CPU time and
// RPC bytes per second, and memory at the end.
func (f *testFleet) measure(name string) usage {
	before := f.usage(name)
	time.Sleep(measureTime)
	after := f.usage(name)
	seconds := measureTime.Seconds()
	return usage{(after.cpuSeconds - before.cpuSeconds) / seconds, after.rssBytes, (after.rpcBytes - before.rpcBytes) / seconds}
}

// reportUsage reports u as metrics of the benchmark.
func reportUsage(b *testing.B, role string, u usage) {
	b.ReportMetric(100*u.cpuSeconds, role+"-%core")
	b.ReportMetric(u.rssBytes/1e6, role+"-MB")
	b.ReportMetric(u.rpcBytes/1e3, role+"-KB/s")
}

// usage returns the current resource usage of one process, with totals since its start.
func (f *testFleet) usage(name string) usage {
	p := f.processes[name]
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(f.t, err)
	// The command name may contain spaces, so fields are counted from its closing
	// parenthesis; fields[0] is the third field of the file.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, system, rssPages := parseNumber(f.t, fields[11]), parseNumber(f.t, fields[12]), parseNumber(f.t, fields[21])
	return usage{(user + system) / clockTicks, rssPages * float64(os.Getpagesize()), f.rpcBytes(p)}
}

// rpcBytes returns the sum of the RPC byte counters in the metrics of a process.
func (f *testFleet) rpcBytes(p *process) float64 {
	resp, err := http.Get("http://" + p.httpAddress + "/metrics")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "hemlockvale_rpc_bytes{") {
			sum += parseNumber(f.t, lines.Text()[strings.LastIndexByte(lines.Text(), ' ')+1:])
		}
	}
	require.NoError(f.t, lines.Err())
	return sum
}

func parseNumber(t testing.TB, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return n
}
