// Package soak tests senders under overlapping faults. It generates a random case from a seed and runs it with real
// processes on the loopback interface (package harness). A case fails if a rule is violated (package audit), if a
// process ends unexpectedly, or if a log contains an error that indicates a bug. The seed reproduces the case.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cleathold/internal/abuse"
	"cleathold/internal/harness"
)

// Options holds the parameters for generating cases.
type Options struct {
	Senders int           // minimum; up to half as many are added at random
	Length  time.Duration // of the traffic and the faults
	Rate    float64       // messages per second for each sender
	Strace  string        // path of strace; if empty, no faults are injected into system calls

	// ListDoubts selects cases in which processes end while the endpoint list is in doubt. See listDoubtScript.
	ListDoubts bool
}

// Case is a test case that was generated from a seed.
type Case struct {
	Seed        uint64
	Script      string // the scenario
	Senders     int
	Faults      harness.Faults
	MemoryMB    float64        // memory limit of each sender
	SettledAt   time.Duration  // from then on there is no trouble, and the senders must send; 0: always some
	SystemCalls map[int]string // by sender: the fault that strace injects, in strace's syntax
	Notes       []string       // descriptions of the faults that are not in the script
}

// Each part of a case uses a random stream of its own, so that changing how one part is generated does not change the
// others.
const (
	drawSize uint64 = iota
	drawScript
	drawAnswers
	drawCalls
	drawResponses
	drawTraffic
	drawAbuse
	drawListDoubts
)

// partDraw generates one part of a case from its random stream.
type partDraw struct {
	*rand.Rand
	length float64 // seconds
}

// between returns a random number between from and to.
func (d partDraw) between(from, to float64) float64 { return from + (to-from)*d.Float64() }

// begin returns a random start time for a fault in seconds: after the first second, and early enough to have an effect.
func (d partDraw) begin() float64 { return d.between(1, d.length*0.8) }

// Draw returns the case for a seed.
func Draw(seed uint64, o Options) *Case {
	part := func(n uint64) partDraw { return partDraw{rand.New(rand.NewPCG(seed, n)), o.Length.Seconds()} }
	c := &Case{Seed: seed, MemoryMB: 192, SystemCalls: map[int]string{}}
	c.Senders = senders(part(drawSize), o)
	rate := o.Rate * float64(max(c.Senders, o.Senders)) // a few senders carry as much as many
	site := deployments[seed%uint64(len(deployments))]
	c.addNote("deployment: %s", site.name)
	c.Faults.KnownLists = site.pushedLists
	traffic := traffic(part(drawTraffic), rate)
	if o.ListDoubts {
		c.Script = c.listDoubtScript(part(drawListDoubts), site, traffic)
		if o.Strace != "" {
			c.drawCalls(part(drawCalls), o.Strace)
		}
		return c
	}
	c.Script = script(part(drawScript), c.Senders, o, site, traffic)
	c.drawAnswers(part(drawAnswers), site)
	c.drawResponses(part(drawResponses))
	c.drawAbuse(part(drawAbuse))
	if o.Strace != "" {
		c.drawCalls(part(drawCalls), o.Strace)
	}
	return c
}

// fewSenders is the number of senders in the cases with few, each of which gets many messages for one destination.
const fewSenders = 2

// senders returns the number of senders of a case. In a third of the cases it is small.
func senders(d partDraw, o Options) int {
	number := o.Senders + d.IntN(o.Senders/2+1)
	if d.IntN(3) == 0 {
		return min(number, fewSenders)
	}
	return number
}

// script returns a random scenario: a deployment with its traffic, replacements of endpoints, and some faults.
func script(d partDraw, senders int, o Options, site deployment, traffic string) string {
	var b strings.Builder
	addLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	addLine(`scenario(name = "soak", seconds = %.1f, senders = %d, zones = %s)`, d.length, senders, site.zoneList())
	b.WriteString(site.script + tenants + fleets)
	addLine("%s", traffic)
	for range 2 + d.IntN(3) {
		addLine(`churn(at = %.2f, every = %.2f, drain = %.2f, reuse_address = %s)`, d.between(1, 4), d.between(0.9, 4),
			d.between(1, 4), starlarkBool(d.IntN(3) == 0))
	}
	addLine(`churn(at = %.2f, every = %.2f, drain = %.2f, move_address = True)`, d.between(1, 3), d.between(2, 4),
		d.between(1, 4))
	if d.IntN(2) == 0 {
		b.WriteString(longHang(d) + "\n")
	}
	for range 5 + d.IntN(6) {
		b.WriteString(fault(d) + "\n")
	}
	return b.String()
}

// starlarkBool returns a bool as a Starlark literal.
func starlarkBool(value bool) string {
	if value {
		return "True"
	}
	return "False"
}

// faults holds a function for each kind of fault. It returns the script line of a fault that begins at a time and lasts
// for a number of seconds.
var faults = []func(d partDraw, at, seconds string) string{
	func(d partDraw, at, seconds string) string { return call("discovery_out", at, seconds) },
	func(d partDraw, at, seconds string) string {
		return call("trouble", at, seconds, `what = "`+pick(d, "DOWN", "SHUT", "SILENT", "FAILING", "SLOW", "PAUSED",
			"BREAKING", "SPOILING")+`"`, "part = 0.4", "share = (0.2, 0.8)")
	},
	func(d partDraw, at, seconds string) string {
		return call("trouble", at, seconds, `what = "CUT"`, "factor = 0.5", "part = 0.4")
	},
	func(d partDraw, at, seconds string) string {
		return call("link", at, seconds, "share = 0.4", `to = "discovery"`, brokenLink(d))
	},
	func(d partDraw, at, seconds string) string {
		return call("link", at, seconds, `of = "senders"`, `to = "senders"`, "delay = 0.05", "jitter = 0.2", "loss = 0.5",
			"double = 0.2")
	},
	func(d partDraw, at, seconds string) string {
		return call("link", at, seconds, "share = 0.3", `to = "partners"`, brokenLink(d))
	},
	func(d partDraw, at, seconds string) string {
		return call("parts", at, seconds, "parts = 2", brokenLink(d))
	},
	func(d partDraw, at, _ string) string {
		return call("sender", at, "", "share = 0.4", `what = "kill"`, spreadArgument(d))
	},
	func(d partDraw, at, _ string) string {
		return call("sender", at, "", "share = 0.4", `what = "`+pick(d, "term", "signals")+`"`, spreadArgument(d))
	},
	func(d partDraw, at, _ string) string { return call("sender", at, "", "share = 1", `what = "hup"`) },
	func(d partDraw, at, _ string) string {
		return call("sender", at, "", "share = 0.5", `what = "retune"`, "slots = 0.6", "hold = 0.7")
	},
	func(d partDraw, at, seconds string) string {
		return call("sender", at, seconds, "share = 0.3", `what = "drain"`, spreadArgument(d))
	},
	func(d partDraw, at, _ string) string {
		return call("sender", at, "0.15", "share = 0.5", `what = "stop"`, spreadArgument(d))
	},
	func(d partDraw, at, seconds string) string { return call("burst", at, seconds, "factor = 2") },
}

// fault returns the script line of a random fault.
func fault(d partDraw) string {
	at := fmt.Sprintf("%.2f", d.begin())
	return faults[d.IntN(len(faults))](d, at, fmt.Sprintf("%.2f", d.between(1, 6)))
}

// longHang returns the script line of a fault in which some destinations accept calls and answer none for longer than
// most messages have.
func longHang(d partDraw) string {
	at, seconds := d.between(1, d.length/3), d.between(d.length/2, d.length)
	return call("trouble", fmt.Sprintf("%.2f", at), fmt.Sprintf("%.2f", seconds), `what = "`+pick(d, "SILENT", "PAUSED")+`"`,
		"part = 0.6", `kind = "large"`)
}

// call returns a Starlark function call.
func call(name, at, seconds string, extraArgs ...string) string {
	args := append([]string{"at = " + at}, extraArgs...)
	if seconds != "" {
		args = append(args, "seconds = "+seconds)
	}
	return name + "(" + strings.Join(args, ", ") + ")"
}

// pick returns one of several strings at random.
func pick(d partDraw, options ...string) string { return options[d.IntN(len(options))] }

// brokenLink returns a random argument that states how a link fails.
func brokenLink(d partDraw) string { return `what = "` + pick(d, "CUT", "SILENT") + `"` }

// spreadArgument returns a random argument for the time over which a fault spreads to the affected senders.
func spreadArgument(d partDraw) string { return fmt.Sprintf("spread = %.1f", d.between(0, 3)) }

// drawAnswers generates the faults in the responses of discovery and the behavior of the clients.
func (c *Case) drawAnswers(d partDraw, site deployment) {
	for range 1 + d.IntN(4) {
		at := d.begin()
		f := harness.AnswerFault{From: seconds(at), To: seconds(at + d.between(0.5, 5)), Fraction: d.between(0.3, 1)}
		failures := harness.AnswerFailures
		if site.pushedLists {
			failures = harness.AgentFailures
		}
		f.Failure = failures[d.IntN(len(failures))]
		c.Faults.Answers = append(c.Faults.Answers, f)
		c.addNote("answers of discovery, %.1f to %.1f s: %.2f of them %s", f.From.Seconds(), f.To.Seconds(), f.Fraction,
			f.Failure)
	}
	c.Faults.WatchTail = true
	c.Faults.KeepConnections = d.IntN(4) > 0
	c.addNote("clients keep using open connections: %t", c.Faults.KeepConnections)
	if d.IntN(3) == 0 {
		at := d.begin()
		idle := harness.IdleClients{From: seconds(at), To: seconds(at + d.between(2, 6)), Connections: 200}
		c.Faults.IdleClients, c.Faults.Sockets = []harness.IdleClients{idle}, 192
		c.addNote("a crowd of %d for each sender, %.1f to %.1f s", idle.Connections, idle.From.Seconds(),
			idle.To.Seconds())
	}
}

// drawResponses generates responses that come twice, too early, too late, too long or too short.
func (c *Case) drawResponses(d partDraw) {
	for range 2 + d.IntN(4) {
		at := d.begin()
		f := harness.ResponseFault{From: seconds(at), To: seconds(at + d.between(1, 8)), Fraction: d.between(0.05, 0.6)}
		f.Failure = harness.ResponseFailures[d.IntN(len(harness.ResponseFailures))]
		c.Faults.Responses = append(c.Faults.Responses, f)
		c.addNote("responses, %.1f to %.1f s: %.2f of them %s", f.From.Seconds(), f.To.Seconds(), f.Fraction, f.Failure)
	}
}

// Sizes of the crowds: of clients at each sender where there are few senders, and where there are many.
const (
	crowdAtFew  = 300
	crowdAtMany = 60
)

// crowdKinds are the ways in which clients misuse the senders.
var crowdKinds = []abuse.Kind{abuse.ManyFields, abuse.FieldsBody, abuse.HalfBody, abuse.SingleBytes, abuse.EndlessHead,
	abuse.Silent, abuse.Flood}

// drawAbuse generates peers that misuse the senders: clients in half of the cases, some with halved limits; discovery,
// and endpoints, in a third of them each.
func (c *Case) drawAbuse(d partDraw) {
	span := func(longest float64) (from, to time.Duration) {
		at := d.begin()
		return seconds(at), seconds(at + d.between(2, longest))
	}
	if d.IntN(2) == 0 {
		c.MemoryMB = 96
		crowd := harness.Crowd{Kind: crowdKinds[d.IntN(len(crowdKinds))], Clients: crowdAtMany}
		crowd.From, crowd.To = span(8)
		switch {
		case crowd.Kind == abuse.Flood && c.Senders > fewSenders: // a processor for each sender and each client
			crowd.Kind = abuse.Silent
		case crowd.Kind == abuse.Flood:
			crowd.Clients = 1
		case c.Senders <= fewSenders:
			crowd.Clients = crowdAtFew
		}
		if d.IntN(2) == 0 && c.Faults.Sockets == 0 {
			c.Faults.Sockets = 192
		}
		c.Faults.Crowds = append(c.Faults.Crowds, crowd)
		c.addNote("%d clients at each sender, %.1f to %.1f s: %s; %.0f MB", crowd.Clients, crowd.From.Seconds(),
			crowd.To.Seconds(), crowd.Kind, c.MemoryMB)
	}
	if d.IntN(3) == 0 {
		f := harness.AnswerFault{Failure: harness.Bloats, Fraction: d.between(0.3, 1)}
		f.From, f.To = span(5)
		c.Faults.Answers = append(c.Faults.Answers, f)
		c.addNote("answers of discovery, %.1f to %.1f s: %.2f of them bloated", f.From.Seconds(), f.To.Seconds(), f.Fraction)
	}
	if d.IntN(3) == 0 {
		f := harness.ResponseFault{Failure: harness.Bloated, Fraction: d.between(0.05, 0.6)}
		f.From, f.To = span(8)
		c.Faults.Responses = append(c.Faults.Responses, f)
		c.addNote("responses, %.1f to %.1f s: %.2f of them bloated", f.From.Seconds(), f.To.Seconds(), f.Fraction)
	}
}

// addNote records the description of a fault that is not in the script.
func (c *Case) addNote(format string, args ...any) {
	c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
}

// maxInjected limits the number of consecutive system calls that fail, which is at most maxInjected plus two, since
// delivery reports are due within 300 ms.
const maxInjected = 7

// systemCallFaults holds faults of system calls that Linux documents, in the syntax of strace's inject option. The
// placeholders stand for the numbers of the first and last failing call, counted from the start of the process.
var systemCallFaults = []string{
	"accept4:error=ECONNABORTED:when=%d+5", "accept4:error=ENFILE:when=%d..%d", "accept4:error=ENOBUFS:when=%d..%d",
	"connect:error=EADDRNOTAVAIL:when=%d..%d", "connect:error=ENETUNREACH:when=%d..%d", "connect:error=ENOBUFS:when=%d+9",
	"connect:error=ETIMEDOUT:when=%d+11", "connect:error=EHOSTUNREACH:when=%d..%d", "socket:error=ENFILE:when=%d..%d",
	"pwrite64:error=ENOSPC:when=1..4", "pwrite64:error=EIO:when=2..5", "socket:error=ENFILE:when=1..4",
	"listen:error=ENOBUFS:when=1..2",
	"pwrite64:error=ENOSPC:when=%d..%d", "pwrite64:error=EIO:when=%d..%d", "renameat:error=ENOSPC:when=1..3",
	"epoll_pwait:error=EINTR:when=%d+7", "read:error=EINTR:when=%d+13", "write:error=EINTR:when=%d+13",
}

// drawCalls selects at random the senders whose system calls fail, and the faults of these calls.
func (c *Case) drawCalls(d partDraw, strace string) {
	for i := range c.Senders {
		if d.IntN(3) > 0 {
			continue
		}
		injection := systemCallFaults[d.IntN(len(systemCallFaults))]
		from := 20 + d.IntN(150)
		switch strings.Count(injection, "%d") {
		case 1:
			injection = fmt.Sprintf(injection, from)
		case 2:
			injection = fmt.Sprintf(injection, from, from+2+d.IntN(maxInjected))
		}
		c.SystemCalls[i] = injection
		c.addNote("n%d: %s", i, injection)
	}
	c.Faults.WrapCommand = func(sender int, program string) []string {
		injection, fails := c.SystemCalls[sender]
		if !fails {
			return []string{program}
		}
		name, _, _ := strings.Cut(injection, ":")
		// With -D strace runs as a grandchild, so that the started child is the program itself and receives the signals.
		return []string{strace, "-D", "-f", "--seccomp-bpf", "-qqq", "-o", "/dev/null", "-e", "trace=" + name, "-e",
			"inject=" + injection, "--", program}
	}
}
