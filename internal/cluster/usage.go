package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"cleathold/internal/agent"
)

// SenderSpent is what a sender spends in a second, and holds.
type SenderSpent struct {
	Processor float64 `json:"processor_s"`
	MemoryMB  float64 `json:"memory_mb"`
}

// Cost is what an agent spends in a second, and holds.
type Cost struct {
	Processor float64 `json:"processor_s"`
	MemoryMB  float64 `json:"memory_mb"`
	RaftBytes float64 `json:"raft_bytes"`
	RaftCalls float64 `json:"raft_calls"`
	ToldBytes float64 `json:"told_bytes"` // of sights, to the leader
	ToldCalls float64 `json:"told_calls"`
	LookBytes float64 `json:"look_bytes"` // that its senders answered
	Looks     float64 `json:"looks"`
}

// usage is what agents have spent so far.
type usage struct {
	at    time.Time
	cpu   float64
	mem   float64
	bytes int64
	calls int64
	spent agent.Traffic
	n     int
}

// processUsage is what a process has spent so far: processor seconds, and MB that it holds.
func processUsage(pid int) (cpu, mem float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	return (user + system) / 100, pages * float64(os.Getpagesize()) / (1 << 20)
}

// senders is what senders spend for so long, in the mean.
func (c *Cluster) senderUsage(span time.Duration) (s SenderSpent) {
	sum := func() (cpu, mem float64) {
		for pid := range c.processes() {
			c, m := processUsage(pid)
			cpu, mem = cpu+c, mem+m
		}
		return cpu, mem
	}
	before, _ := sum()
	time.Sleep(span)
	after, mem := sum()
	n := float64(c.Senders)
	return SenderSpent{(after - before) / span.Seconds() / n, mem / n}
}

func (c *Cluster) usage() (u usage) {
	u.at = time.Now()
	for i, a := range c.agents {
		if a.cmd == nil {
			continue
		}
		cpu, mem := processUsage(a.cmd.Process.Pid)
		u.cpu, u.mem = u.cpu+cpu, u.mem+mem
		if v, err := c.View(i, true); err == nil && v.Quorum != nil {
			u.bytes, u.calls = u.bytes+v.Quorum.Sent, u.calls+v.Quorum.Calls
			u.spent.ReportedBytes, u.spent.Reports = u.spent.ReportedBytes+v.Traffic.ReportedBytes, u.spent.Reports+v.Traffic.Reports
			u.spent.PolledBytes, u.spent.Polls = u.spent.PolledBytes+v.Traffic.PolledBytes, u.spent.Polls+v.Traffic.Polls
		}
		u.n++
	}
	return u
}

// costBetween is what agents spent between two looks, each in the mean.
func costBetween(a, b usage) Cost {
	n, s := float64(max(1, b.n)), b.at.Sub(a.at).Seconds()
	each := func(a, b int64) float64 { return float64(b-a) / s / n }
	return Cost{
		(b.cpu - a.cpu) / s / n, b.mem / n, each(a.bytes, b.bytes), each(a.calls, b.calls), each(a.spent.ReportedBytes, b.spent.ReportedBytes),
		each(a.spent.Reports, b.spent.Reports), each(a.spent.PolledBytes, b.spent.PolledBytes), each(a.spent.Polls, b.spent.Polls),
	}
}
