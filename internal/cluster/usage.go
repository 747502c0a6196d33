package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"cleathold/internal/agent"
)

// SenderUsage is the average resource usage of a sender.
type SenderUsage struct {
	Processor float64 `json:"processor_s"` // processor seconds per second
	MemoryMB  float64 `json:"memory_mb"`   // resident set
}

// AgentUsage is the average resource usage of an agent. Bytes and calls are per second.
type AgentUsage struct {
	Processor   float64 `json:"processor_s"` // processor seconds per second
	MemoryMB    float64 `json:"memory_mb"`   // resident set
	RaftBytes   float64 `json:"raft_bytes"`
	RaftCalls   float64 `json:"raft_calls"`
	ReportBytes float64 `json:"told_bytes"` // reports of observations to the leader
	ReportCalls float64 `json:"told_calls"`
	PollBytes   float64 `json:"look_bytes"` // answers of the agent's senders to polls
	PollCalls   float64 `json:"looks"`
}

// usage is the accumulated resource usage of all agents at a point in time.
type usage struct {
	at          time.Time
	processor   float64 // processor seconds
	memoryMB    float64 // current resident set
	quorumBytes int64
	quorumCalls int64
	traffic     agent.Traffic
	agents      int // running agents
}

// clockTicks is the number of clock ticks per second in which /proc/PID/stat reports processor time (USER_HZ).
const clockTicks = 100

// processUsage returns the processor seconds that a process has used so far and its resident set in MiB; 0 if it has
// ended.
func processUsage(pid int) (processor, memoryMB float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // skip the program name, which may contain spaces
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	return (user + system) / clockTicks, pages * float64(os.Getpagesize()) / (1 << 20)
}

// senderUsage measures the average resource usage of a sender over a duration.
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

// agentUsage returns the accumulated resource usage of the running agents.
func (c *Cluster) agentUsage() (u usage) {
	u.at = time.Now()
	for i, a := range c.agents {
		if a.cmd == nil {
			continue
		}
		processor, memoryMB := processUsage(a.cmd.Process.Pid)
		u.processor, u.memoryMB = u.processor+processor, u.memoryMB+memoryMB
		if v, err := c.View(i, true); err == nil && v.Quorum != nil {
			u.quorumBytes += v.Quorum.SentBytes
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

// costBetween returns the average resource usage of an agent between two measurements.
func costBetween(a, b usage) AgentUsage {
	n, seconds := float64(max(1, b.agents)), b.at.Sub(a.at).Seconds()
	rate := func(a, b int64) float64 { return float64(b-a) / seconds / n }
	return AgentUsage{
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
