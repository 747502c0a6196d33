package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"cleathold/internal/agent"
)

// SenderUsage is what a sender spends in a second, and holds.
type SenderUsage struct {
	Processor float64 `json:"processor_s"` // processor seconds a second
	MemoryMB  float64 `json:"memory_mb"`   // resident
}

// Cost is what an agent spends in a second, and holds.
type Cost struct {
	Processor   float64 `json:"processor_s"` // processor seconds a second
	MemoryMB    float64 `json:"memory_mb"`   // resident
	RaftBytes   float64 `json:"raft_bytes"`
	RaftCalls   float64 `json:"raft_calls"`
	ReportBytes float64 `json:"told_bytes"` // of observations, to the leader
	ReportCalls float64 `json:"told_calls"`
	PollBytes   float64 `json:"look_bytes"` // of its senders' answers to polls
	PollCalls   float64 `json:"looks"`
}

// usage is what all agents have spent up to a time.
type usage struct {
	at          time.Time
	processor   float64 // seconds
	memoryMB    float64 // held now
	quorumBytes int64
	quorumCalls int64
	traffic     agent.Traffic
	agents      int // that run
}

// clockTicks is the number of ticks a second in which Linux counts processor time for user space (USER_HZ).
const clockTicks = 100

// processUsage returns the processor seconds that a process has spent so far, and the MiB that it holds; 0 if it has
// ended.
func processUsage(pid int) (processor, memoryMB float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // after the name of the program, which may have blanks
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / clockTicks, pages * float64(os.Getpagesize()) / (1 << 20)
}

// senderUsage measures for a duration what a sender spends, on average.
func (c *Cluster) senderUsage(duration time.Duration) SenderUsage {
	totalUsage := func() (processor, memoryMB float64) {
		for pid := range c.processes() {
			p, m := processUsage(pid)
			processor, memoryMB = processor+p, memoryMB+m
		}
		return processor, memoryMB
	}
	before, _ := totalUsage()
	time.Sleep(duration)
	after, memoryMB := totalUsage()
	n := float64(c.Senders)
	return SenderUsage{Processor: (after - before) / duration.Seconds() / n, MemoryMB: memoryMB / n}
}

// agentUsage returns what the agents have spent so far.
func (c *Cluster) agentUsage() (u usage) {
	u.at = time.Now()
	for i, a := range c.agents {
		if a.cmd == nil {
			continue
		}
		processor, memoryMB := processUsage(a.cmd.Process.Pid)
		u.processor, u.memoryMB = u.processor+processor, u.memoryMB+memoryMB
		if v, err := c.View(i, true); err == nil && v.Quorum != nil {
			u.quorumBytes += v.Quorum.Sent
			u.quorumCalls += v.Quorum.Calls
			u.traffic.ReportedBytes += v.Traffic.ReportedBytes
			u.traffic.Reports += v.Traffic.Reports
			u.traffic.PolledBytes += v.Traffic.PolledBytes
			u.traffic.Polls += v.Traffic.Polls
		}
		u.agents++
	}
	return u
}

// costBetween returns what an agent spent between two times, on average.
func costBetween(a, b usage) Cost {
	n, seconds := float64(max(1, b.agents)), b.at.Sub(a.at).Seconds()
	rate := func(a, b int64) float64 { return float64(b-a) / seconds / n }
	return Cost{
		Processor:   (b.processor - a.processor) / seconds / n,
		MemoryMB:    b.memoryMB / n,
		RaftBytes:   rate(a.quorumBytes, b.quorumBytes),
		RaftCalls:   rate(a.quorumCalls, b.quorumCalls),
		ReportBytes: rate(a.traffic.ReportedBytes, b.traffic.ReportedBytes),
		ReportCalls: rate(a.traffic.Reports, b.traffic.Reports),
		PollBytes:   rate(a.traffic.PolledBytes, b.traffic.PolledBytes),
		PollCalls:   rate(a.traffic.Polls, b.traffic.Polls),
	}
}
