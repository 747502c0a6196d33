package harness

import (
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// A supervisor executes the plan's actions on one sender, and restarts its process whenever it has ended.
type supervisor struct {
	run     *run
	process *Process
	number  int // of the sender

	terminating atomic.Bool // the process was told to end, and the next one is not ready yet
}

// supervise runs the supervisor of one sender until the run ends.
func (r *run) supervise(number int) {
	s := &supervisor{run: r, process: r.processes[number], number: number}
	env := r.env
	actions, upgrades := s.dueActions(), s.dueUpgrades()
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
		case _, ok := <-upgrades:
			if !ok {
				upgrades = nil
				continue
			}
			if s.upgrade() {
				continue
			}
			s.recordDown("")
			r.countRestart(true)
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

// dueItems returns a channel that receives each item when it is due. The channel is closed after the last one.
func dueItems[T any](env *Environment, items []T, dueAt func(T) time.Duration) <-chan T {
	due := make(chan T)
	env.wg.Go(func() {
		defer close(due)
		for _, item := range items {
			if !env.sleepUntil(dueAt(item)) {
				return
			}
			select {
			case due <- item:
			case <-env.ctx.Done():
				return
			}
		}
	})
	return due
}

// ofSender returns the items of one sender.
func ofSender[T any](items []T, number int, senderOf func(T) int) []T {
	return slices.DeleteFunc(slices.Clone(items), func(item T) bool { return senderOf(item) != number })
}

// dueActions returns a channel that receives the plan's actions for the sender.
func (s *supervisor) dueActions() <-chan scenario.PlannedAction {
	own := ofSender(s.run.Plan.Actions, s.number, func(a scenario.PlannedAction) int { return a.Sender })
	return dueItems(s.run.env, own, func(a scenario.PlannedAction) time.Duration { return a.At })
}

// dueUpgrades returns a channel that receives the sender's upgrades.
func (s *supervisor) dueUpgrades() <-chan Upgrade {
	own := ofSender(s.run.env.faults.Upgrades, s.number, func(u Upgrade) int { return u.Sender })
	return dueItems(s.run.env, own, func(u Upgrade) time.Duration { return u.At })
}

// restart starts the process again after restartDelay and waits until it is ready. If the process does not start or
// does not become ready, restart ends the run. It returns false if the run has ended.
func (s *supervisor) restart() bool {
	env := s.run.env
	if !env.sleep(restartDelay) {
		return false
	}
	s.run.clients.SetDraining(s.number, false) // a drain order does not survive a restart
	if list := env.heldList(s.number); len(list.Servers) > 0 {
		if err := s.process.setKnown(list); err != nil {
			env.cancel(err)
			return false
		}
	}
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
	s.terminating.Store(false)
	s.recordUp()
	return true
}

// recordDown notifies the auditor and the clients that the process no longer serves.
func (s *supervisor) recordDown(cause string) {
	s.run.env.Record(audit.Event{Kind: audit.ProcessEnded, Sender: s.number, Cause: cause})
	s.run.clients.SetDown(s.number, true)
}

// recordUp notifies the auditor and the clients that the process serves again.
func (s *supervisor) recordUp() {
	s.run.env.Record(audit.Event{Kind: audit.Ready, Sender: s.number})
	s.run.clients.SetDown(s.number, false)
}

// executeAction executes an action, and reports whether it has ended the process.
func (s *supervisor) executeAction(a scenario.PlannedAction) (ended bool) {
	p, env := s.process, s.run.env
	if a.EndsProcess() {
		s.terminating.Store(true)
	}
	switch a.Kind {
	case "hup":
		p.Signal(syscall.SIGHUP)
	case "kill":
		s.recordDown("")
		p.Stop(false)
		return true
	case "wipe":
		s.recordDown(audit.StateLost)
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
			if !s.terminating.Load() {
				s.recordUp()
			}
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

// scheduleUndo calls undo when the action is over, unless the process on which the action was executed has ended by
// then.
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

// sendOrder sends an operator's order to the process, and notifies the clients of the resulting state of its health
// check.
func (s *supervisor) sendOrder(verb string, draining bool) {
	if err := s.process.sendOrder(verb); err != nil {
		s.run.env.log.Warn("operator order failed", "sender", s.number, "order", verb, "err", err)
		return
	}
	s.run.clients.SetDraining(s.number, draining)
}
