// Package soak draws cases of faults that overlap in time by seeds, plays each with real processes on loopback, and judges
// it by the rules (package audit), by how processes ended and by what their logs confess. A case that breaks something is
// played again by its seed.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cleathold/internal/harness"
)

// Options bound what is drawn.
type Options struct {
	Senders int           // at the least; up to half as many more are drawn
	Length  time.Duration // of the traffic and the faults
	Rate    float64       // messages a second for each sender
	Strace  string        // path of strace; empty: no system calls fail
}

// A Case is what a seed stands for.
type Case struct {
	Seed    uint64
	Script  string // of the scenario
	Senders int
	Faults  harness.Faults
	Calls   map[int]string // by sender: what strace injects
	Notes   []string       // the faults that stand in no script, in words
}

// The parts of a case that are drawn apart, so that one more in one of them leaves the others alone.
const (
	drawSize uint64 = iota
	drawScript
	drawAnswers
	drawCalls
)

// A drawer draws one part of a case.
type drawer struct {
	*rand.Rand
	length float64 // seconds
}

func (d drawer) between(from, to float64) float64 { return from + (to-from)*d.Float64() }

// begin is when a fault begins: after the first second, and so that it can still show.
func (d drawer) begin() float64 { return d.between(1, d.length*0.8) }

// Draw makes the case of a seed.
func Draw(seed uint64, o Options) *Case {
	part := func(n uint64) drawer { return drawer{rand.New(rand.NewPCG(seed, n)), o.Length.Seconds()} }
	c := &Case{Seed: seed, Calls: map[int]string{}}
	size := part(drawSize)
	c.Senders = o.Senders + size.IntN(o.Senders/2+1)
	c.Script = script(part(drawScript), c.Senders, o)
	c.drawAnswers(part(drawAnswers))
	if o.Strace != "" {
		c.drawCalls(part(drawCalls), o.Strace)
	}
	return c
}

// usual is what each case has: partners with limits, traffic of the three effects, endpoints that are replaced.
const usual = `
kind(name = "large", limit = "rate", headroom = (1.3, 2.3), least = (4, 8), tells_wait = (0.6, 1), wait = (0.3, 1), batch = 5, apart = True, endpoints = 3)
kind(name = "small", limit = "window", headroom = (1.2, 1.7), least = (4, 8), span = 1, refused_count = True, tells_wait = (0.1, 0.6), conns = (2, 4), endpoints = 3)
fleet(kind = "large", destinations = 3, weight = 2)
fleet(kind = "small", destinations = 5)
message_class(name = "status", share = 0.55, service = (0.05, 0.2), aim = 0.8, deadline = 6, late = 0.1)
message_class(name = "order", share = 0.26, service = (0.05, 0.2), aim = 2, deadline = 8, effect = "keyed", memory = 5, late = 0.5)
message_class(name = "payment", share = 0.19, service = (0.05, 0.2), aim = 2, deadline = 8, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "a", share = 0.6)
tenant(name = "b", share = 0.4)
`

// script writes the scenario: the usual, and some of the faults that a script can name.
func script(d drawer, senders int, o Options) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line(`scenario(name = "soak", seconds = %.1f, senders = %d, zones = ["a", "b"])`, d.length, senders)
	b.WriteString(usual)
	line(`traffic(rate = %.1f, clumps = (0.1, 0.2), clump = (1, 2), retries = 2)`, o.Rate*float64(senders))
	for range 2 + d.IntN(3) {
		line(`churn(at = %.2f, every = %.2f, drain = %.2f, reuse_address = %s)`, d.between(1, 4), d.between(0.9, 4), d.between(1, 4), word(d.IntN(3) == 0))
	}
	for range 5 + d.IntN(6) {
		b.WriteString(fault(d) + "\n")
	}
	return b.String()
}

func word(yes bool) string {
	if yes {
		return "True"
	}
	return "False"
}

// faults of a script, each as one line. %[1]s is when it begins, %[2]s how long it lasts.
var faults = []func(d drawer, at, seconds string) string{
	func(d drawer, at, seconds string) string { return call("discovery_out", at, seconds) },
	func(d drawer, at, seconds string) string {
		return call("trouble", at, seconds, `what = "`+pick(d, "DOWN", "SHUT", "SILENT", "FAILING", "SLOW", "PAUSED", "BREAKING", "SPOILING")+`"`, "part = 0.4", "share = (0.2, 0.8)")
	},
	func(d drawer, at, seconds string) string {
		return call("trouble", at, seconds, `what = "CUT"`, "factor = 0.5", "part = 0.4")
	},
	func(d drawer, at, seconds string) string {
		return call("link", at, seconds, "share = 0.4", `to = "discovery"`, broken(d))
	},
	func(d drawer, at, seconds string) string {
		return call("link", at, seconds, `of = "senders"`, `to = "senders"`, "delay = 0.05", "jitter = 0.2", "loss = 0.5", "double = 0.2")
	},
	func(d drawer, at, seconds string) string {
		return call("link", at, seconds, "share = 0.3", `to = "partners"`, broken(d))
	},
	func(d drawer, at, seconds string) string { return call("parts", at, seconds, "parts = 2", broken(d)) },
	func(d drawer, at, _ string) string {
		return call("sender", at, "", "share = 0.4", `what = "kill"`, spread(d))
	},
	func(d drawer, at, _ string) string {
		return call("sender", at, "", "share = 0.4", `what = "`+pick(d, "term", "signals")+`"`, spread(d))
	},
	func(d drawer, at, _ string) string { return call("sender", at, "", "share = 1", `what = "hup"`) },
	func(d drawer, at, _ string) string {
		return call("sender", at, "", "share = 0.5", `what = "retune"`, "slots = 0.6", "hold = 0.7")
	},
	func(d drawer, at, seconds string) string {
		return call("sender", at, seconds, "share = 0.3", `what = "drain"`, spread(d))
	},
	func(d drawer, at, _ string) string {
		return call("sender", at, "0.15", "share = 0.5", `what = "stop"`, spread(d))
	},
	func(d drawer, at, seconds string) string { return call("burst", at, seconds, "factor = 2") },
}

// fault draws one of them.
func fault(d drawer) string {
	at := fmt.Sprintf("%.2f", d.begin())
	return faults[d.IntN(len(faults))](d, at, fmt.Sprintf("%.2f", d.between(1, 6)))
}

func call(name, at, seconds string, more ...string) string {
	args := append([]string{"at = " + at}, more...)
	if seconds != "" {
		args = append(args, "seconds = "+seconds)
	}
	return name + "(" + strings.Join(args, ", ") + ")"
}

func pick(d drawer, of ...string) string { return of[d.IntN(len(of))] }

func broken(d drawer) string { return `what = "` + pick(d, "CUT", "SILENT") + `"` }

func spread(d drawer) string { return fmt.Sprintf("spread = %.1f", d.between(0, 3)) }

// drawAnswers draws how answers of discovery fail, and what clients do.
func (c *Case) drawAnswers(d drawer) {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for range 1 + d.IntN(4) {
		at := d.begin()
		f := harness.AnswerFault{From: second(at), To: second(at + d.between(0.5, 5)), Share: d.between(0.3, 1)}
		f.How = harness.AnswerFailures[d.IntN(len(harness.AnswerFailures))]
		c.Faults.Answers = append(c.Faults.Answers, f)
		c.note("answers of discovery, %.1f to %.1f s: %.2f of them %s", f.From.Seconds(), f.To.Seconds(), f.Share, f.How)
	}
	c.Faults.WatchTail = true
	c.Faults.KeepConnections = d.IntN(4) > 0
	c.note("clients keep using open connections: %t", c.Faults.KeepConnections)
	if d.IntN(3) == 0 {
		at := d.begin()
		crowd := harness.IdleClients{From: second(at), To: second(at + d.between(2, 6)), Connections: 200}
		c.Faults.IdleClients, c.Faults.Sockets = []harness.IdleClients{crowd}, 192
		c.note("a crowd of %d for each sender, %.1f to %.1f s", crowd.Connections, crowd.From.Seconds(), crowd.To.Seconds())
	}
}

func (c *Case) note(format string, args ...any) {
	c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
}

// injectMost calls in a row fail, and two more: a moment, as the sender makes them. Notices are due within 300 ms.
const injectMost = 7

// injections are system calls that fail as Linux documents. The first figure is the call from which on, counted from the
// start of the process, the second how many fail.
var injections = []string{
	"accept4:error=ECONNABORTED:when=%d+5", "accept4:error=ENFILE:when=%d..%d", "accept4:error=ENOBUFS:when=%d..%d",
	"connect:error=EADDRNOTAVAIL:when=%d..%d", "connect:error=ENETUNREACH:when=%d..%d", "connect:error=ENOBUFS:when=%d+9",
	"connect:error=ETIMEDOUT:when=%d+11", "connect:error=EHOSTUNREACH:when=%d..%d", "socket:error=ENFILE:when=%d..%d",
	"pwrite64:error=ENOSPC:when=1..4", "pwrite64:error=EIO:when=2..5", "socket:error=ENFILE:when=1..4", "listen:error=ENOBUFS:when=1..2",
	"pwrite64:error=ENOSPC:when=%d..%d", "pwrite64:error=EIO:when=%d..%d", "renameat:error=ENOSPC:when=1..3",
	"epoll_pwait:error=EINTR:when=%d+7", "read:error=EINTR:when=%d+13", "write:error=EINTR:when=%d+13",
}

// drawCalls draws whose system calls fail, in which way.
func (c *Case) drawCalls(d drawer, strace string) {
	for i := range c.Senders {
		if d.IntN(3) > 0 {
			continue
		}
		form := injections[d.IntN(len(injections))]
		from := 20 + d.IntN(150)
		switch strings.Count(form, "%d") {
		case 1:
			form = fmt.Sprintf(form, from)
		case 2:
			form = fmt.Sprintf(form, from, from+2+d.IntN(injectMost))
		}
		c.Calls[i] = form
		c.note("n%d: %s", i, form)
	}
	c.Faults.Wrap = func(sender int, program string) []string {
		form, fails := c.Calls[sender]
		if !fails {
			return []string{program}
		}
		name, _, _ := strings.Cut(form, ":")
		// -D: the program is the child that was started, and gets the signals.
		return []string{strace, "-D", "-f", "--seccomp-bpf", "-qqq", "-o", "/dev/null", "-e", "trace=" + name, "-e", "inject=" + form, "--", program}
	}
}
