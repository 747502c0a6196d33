package soak

import (
	"slices"
	"time"

	"cleathold/internal/audit"
)

// minJudged is the number of messages from which on a sender is judged by what it sends.
const minJudged = 10

// A serviceCheck finds senders that take messages on and send less than half of them, although all troubles are over. The
// rules don't exclude that: each message ends in time, unsent.
type serviceCheck struct {
	from     time.Duration  // messages that are taken on before are not counted; 0: nothing is checked
	acceptor map[string]int // by message: the sender that has taken it on
	sent     map[string]bool
}

func newServiceCheck(from time.Duration) *serviceCheck {
	return &serviceCheck{from: from, acceptor: map[string]int{}, sent: map[string]bool{}}
}

// read reads the next event of the run.
func (s *serviceCheck) read(e audit.Event) {
	if s.from == 0 || e.At < s.from {
		return
	}
	switch e.Kind {
	case audit.Accepted:
		s.acceptor[e.Message] = e.Sender
	case audit.Sent:
		for _, id := range e.Messages {
			s.sent[id] = true
		}
	}
}

// serviceCount is what a sender has done with the messages that it has taken on.
type serviceCount struct{ sender, accepted, sent int }

// failed returns the counts of the senders that have sent too little, in the order of their numbers.
func (s *serviceCheck) failed() []serviceCount {
	counts := map[int]*serviceCount{}
	for id, sender := range s.acceptor {
		c := counts[sender]
		if c == nil {
			c = &serviceCount{sender: sender}
			counts[sender] = c
		}
		c.accepted++
		if s.sent[id] {
			c.sent++
		}
	}
	var failed []serviceCount
	for _, c := range counts {
		if c.accepted >= minJudged && 2*c.sent < c.accepted {
			failed = append(failed, *c)
		}
	}
	slices.SortFunc(failed, func(a, b serviceCount) int { return a.sender - b.sender })
	return failed
}
