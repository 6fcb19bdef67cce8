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
	// settleTime lets shards find their replicas before the measurement.
	settleTime = 12 * time.Second
	// measureTime is long against the poll and heartbeat intervals.
	measureTime = 10 * time.Second
	// clockTicks is the unit of CPU times in /proc, in ticks per second.
	clockTicks = 100
)

// usage is what a process has used since its start.
type usage struct {
	cpuSeconds float64
	rssBytes   float64
	rpcBytes   float64
}

// BenchmarkIdleFleet measures what a VM spends for control when no caller sends
// anything, at several sizes: the slopes of docs/CAPACITY.md.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []fleetSize{{3, 64, 4}, {12, 64, 4}, {12, 256, 4}, {24, 256, 4}, {24, 256, 24}} {
		b.Run(fmt.Sprintf("entries=%d/shards=%d/targets=%d", size.entries, size.shards, size.engines+1), func(b *testing.B) {
			f := startFleetOf(b, size)
			time.Sleep(settleTime)
			for b.Loop() {
				entry, leader := f.measure("entry-1"), f.measure(f.controlLeader())
				report(b, "entry", entry)
				report(b, "leader", leader)
			}
		})
	}
}

// measure returns the use of one process: CPU and bytes per second, and memory.
func (f *fleetUnderTest) measure(name string) usage {
	before := f.usage(name)
	time.Sleep(measureTime)
	after := f.usage(name)
	seconds := measureTime.Seconds()
	return usage{(after.cpuSeconds - before.cpuSeconds) / seconds, after.rssBytes, (after.rpcBytes - before.rpcBytes) / seconds}
}

func report(b *testing.B, role string, u usage) {
	b.ReportMetric(100*u.cpuSeconds, role+"-%core")
	b.ReportMetric(u.rssBytes/1e6, role+"-MB")
	b.ReportMetric(u.rpcBytes/1e3, role+"-KB/s")
}

func (f *fleetUnderTest) usage(name string) usage {
	p := f.processes[name]
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(f.t, err)
	// The fields after the command's closing parenthesis start with the third one.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, system, rssPages := number(f.t, fields[11]), number(f.t, fields[12]), number(f.t, fields[21])
	return usage{(user + system) / clockTicks, rssPages * float64(os.Getpagesize()), f.rpcBytes(p)}
}

func (f *fleetUnderTest) rpcBytes(p *process) float64 {
	resp, err := http.Get("http://" + p.http + "/metrics")
	require.NoError(f.t, err)
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "hemlockvale_rpc_bytes{") {
			sum += number(f.t, lines.Text()[strings.LastIndexByte(lines.Text(), ' ')+1:])
		}
	}
	require.NoError(f.t, lines.Err())
	return sum
}

func number(t testing.TB, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(t, err)
	return n
}
