package soak

import (
	"fmt"
	"strings"
	"time"

	"cleathold/internal/harness"
)

// In the cases that Options.ListDoubts selects, discovery breaks off its answers and goes down, some endpoints leave in
// these answers, and senders are killed, stopped or upgraded before discovery is back. Endpoints are not replaced again
// and again as in the other cases, since each change of an endpoint would end a doubt about it. All troubles are over
// when the last part of the case begins, in which the senders must send what they take on.
const (
	recoveryTime = 6 * time.Second // after the last trouble, until the senders are judged by what they send
	judgedTime   = 6 * time.Second // for which they are
)

// troubleLines holds functions for the other troubles of these cases, by the script line of one that begins at a time.
var troubleLines = []func(d partDraw, at, seconds string) string{
	func(d partDraw, at, seconds string) string {
		return call("trouble", at, seconds, `what = "`+pick(d, "DOWN", "SILENT", "SLOW", "BREAKING")+`"`, "part = 0.3")
	},
	func(d partDraw, at, seconds string) string {
		return call("link", at, seconds, "share = 0.4", `to = "discovery"`, brokenLink(d))
	},
	func(d partDraw, at, _ string) string { return call("sender", at, "", "share = 1", `what = "hup"`) },
	func(d partDraw, at, _ string) string {
		return call("sender", at, "", "share = 0.5", `what = "retune"`, "slots = 0.6", "hold = 0.7")
	},
	func(d partDraw, at, seconds string) string { return call("burst", at, seconds, "factor = 2") },
}

// brokenAnswers are the ways in which the answers break off from which senders can't tell whether endpoints left.
var brokenAnswers = []harness.AnswerFailure{harness.Stalls, harness.Closes, harness.Resets, harness.Garbles, harness.Dribbles}

// listDoubtScript returns the scenario of such a case, and adds the faults that are not in the script.
func (c *Case) listDoubtScript(d partDraw, site deployment, traffic string) string {
	last := d.length // end of the last trouble, in seconds
	c.SettledAt = seconds(last) + recoveryTime
	var b strings.Builder
	addLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	addLine(`scenario(name = "soak", seconds = %.1f, senders = %d, zones = %s)`, (c.SettledAt + judgedTime).Seconds(),
		c.Senders, site.zoneList())
	b.WriteString(site.script + tenants + fleets)
	addLine("%s", traffic)
	broken := d.between(1, last*0.3) // answers break off from here on
	down := broken + d.between(2.5, 4)
	back := min(last, down+d.between(1, 6))
	c.addAnswerFault(broken, down+0.5, 1, brokenAnswers[d.IntN(len(brokenAnswers))])
	addLine("%s", call("discovery_out", fmt.Sprintf("%.2f", down), fmt.Sprintf("%.2f", back-down)))
	if d.IntN(2) == 0 {
		addLine(`churn(at = %.2f, drain = %.2f, reuse_address = %s)`, d.between(broken, down), d.between(1, 3),
			starlarkBool(d.IntN(2) == 0))
	}
	for range 1 + d.IntN(3) { // also two in a row
		c.addProcessEnd(d, addLine, d.between(broken+0.5, back))
	}
	for range d.IntN(3) {
		at := d.between(1, last*0.7)
		line := troubleLines[d.IntN(len(troubleLines))]
		addLine("%s", line(d, fmt.Sprintf("%.2f", at), fmt.Sprintf("%.2f", d.between(1, last-at))))
	}
	c.Faults.WatchTail, c.Faults.KeepConnections, c.Faults.HeldLists = true, true, true
	if d.IntN(4) == 0 {
		idle := harness.IdleClients{From: seconds(broken), To: seconds(back), Connections: 200}
		c.Faults.IdleClients, c.Faults.Sockets = []harness.IdleClients{idle}, 192
		c.addNote("a crowd of %d for each sender, %.1f to %.1f s", idle.Connections, broken, back)
	}
	return b.String()
}

// addProcessEnd ends the processes of some senders at a time, or has new ones take over.
func (c *Case) addProcessEnd(d partDraw, addLine func(format string, args ...any), at float64) {
	what := pick(d, "kill", "term", "signals", "upgrade")
	if what != "upgrade" {
		addLine("%s", call("sender", fmt.Sprintf("%.2f", at), "", "share = 0.6", `what = "`+what+`"`, "spread = 1"))
		return
	}
	var upgraded []int
	for i := range c.Senders {
		if d.IntN(2) == 0 {
			c.Faults.Upgrades = append(c.Faults.Upgrades, harness.Upgrade{At: seconds(at + d.Float64()), Sender: i})
			upgraded = append(upgraded, i)
		}
	}
	c.addNote("senders are upgraded from %.1f s on, within a second: %v", at, upgraded)
}

// addAnswerFault makes a fraction of the answers of discovery fail for a time, in seconds.
func (c *Case) addAnswerFault(from, to, fraction float64, failure harness.AnswerFailure) {
	c.Faults.Answers = append(c.Faults.Answers, harness.AnswerFault{
		From: seconds(from), To: seconds(to), Failure: failure, Fraction: fraction,
	})
	c.addNote("answers of discovery, %.1f to %.1f s: %.2f of them %s", from, to, fraction, failure)
}

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
