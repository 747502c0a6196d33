package harness

import (
	"syscall"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// A supervisor injects the plan's actions into one sender, and starts its process again after each end.
type supervisor struct {
	run     *run
	process *Process
	number  int // of the sender
}

// supervise runs the supervisor of one sender, until the run ends.
func (r *run) supervise(number int) {
	s := &supervisor{run: r, process: r.processes[number], number: number}
	env := r.env
	actions := s.dueActions()
	for env.ctx.Err() == nil {
		select {
		case <-env.ctx.Done():
			return
		case a, ok := <-actions:
			if !ok {
				actions = nil
				continue
			}
			if !s.executeAction(a) {
				continue
			}
			r.countRestart(false)
		case <-s.process.Ended():
			s.recordDown("")
			r.countRestart(true)
		}
		if !s.restart() {
			return
		}
	}
}

func (r *run) countRestart(crashed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts++
	if crashed {
		r.crashes++
	}
}

// dueActions delivers the plan's actions for the sender, each when it is due, and is closed after the last one.
func (s *supervisor) dueActions() <-chan scenario.PlannedAction {
	env := s.run.env
	due := make(chan scenario.PlannedAction)
	env.wg.Go(func() {
		defer close(due)
		for _, a := range s.run.Plan.Actions {
			if a.Sender != s.number {
				continue
			}
			if !env.sleepUntil(a.At) {
				return
			}
			select {
			case due <- a:
			case <-env.ctx.Done():
				return
			}
		}
	})
	return due
}

// restart starts the process again after restartDelay, and waits until it is ready. It returns false if the run ends
// before, or is ended by it because the process does not become ready.
func (s *supervisor) restart() bool {
	env := s.run.env
	if !env.sleep(restartDelay) {
		return false
	}
	s.run.clients.SetDraining(s.number, false) // an operator's drain ends with the process
	if err := s.process.Start(); err != nil {
		env.cancel(err)
		return false
	}
	if err := s.process.AwaitReady(env.ctx, s.run.readyDeadline()); err != nil {
		if env.ctx.Err() == nil {
			env.cancel(err)
		}
		return false
	}
	s.recordUp()
	return true
}

// recordDown tells the auditor and the clients that the process serves no more.
func (s *supervisor) recordDown(cause string) {
	s.run.env.Record(audit.Event{Kind: audit.Died, Sender: s.number, Cause: cause})
	s.run.clients.SetDown(s.number, true)
}

// recordUp tells them that it serves again.
func (s *supervisor) recordUp() {
	s.run.env.Record(audit.Event{Kind: audit.Ready, Sender: s.number})
	s.run.clients.SetDown(s.number, false)
}

// executeAction carries out an action, and reports whether the process has ended by it.
func (s *supervisor) executeAction(a scenario.PlannedAction) (ended bool) {
	p, env := s.process, s.run.env
	switch a.What {
	case "hup":
		p.Signal(syscall.SIGHUP)
	case "kill":
		s.recordDown("")
		p.Stop(false)
		return true
	case "wipe":
		s.recordDown(audit.Wiped)
		p.Stop(false)
		if err := p.wipeState(); err != nil {
			env.cancel(err)
		}
		return true
	case "term":
		s.recordDown("")
		p.Stop(true)
		return true
	case "signals":
		s.recordDown("")
		p.StopWithSignalSeries()
		return true
	case "stop":
		s.recordDown("")
		p.Signal(syscall.SIGSTOP)
		s.scheduleUndo(a, func() {
			p.Signal(syscall.SIGCONT)
			s.recordUp()
		})
	case "drain":
		s.sendOrder("drain", true)
		s.scheduleUndo(a, func() { s.sendOrder("activate", false) })
	case "activate":
		s.sendOrder("activate", false)
	case "retune":
		if err := p.reconfigure(a); err != nil {
			env.cancel(err)
		}
	}
	return false
}

// scheduleUndo calls a function when an action is over, unless the process that it was injected into has ended by then.
func (s *supervisor) scheduleUndo(a scenario.PlannedAction, undo func()) {
	if a.Until == 0 {
		return
	}
	env, ended := s.run.env, s.process.Ended()
	env.wg.Go(func() {
		if !env.sleepUntil(a.Until) {
			return
		}
		select {
		case <-ended:
		default:
			undo()
		}
	})
}

// sendOrder gives the process an sendOrder of the operators, and tells the clients what its health check says from then on.
func (s *supervisor) sendOrder(verb string, draining bool) {
	if err := s.process.sendOrder(verb); err != nil {
		s.run.env.log.Warn("operator order failed", "sender", s.number, "order", verb, "err", err)
		return
	}
	s.run.clients.SetDraining(s.number, draining)
}
