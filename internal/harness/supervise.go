package harness

import (
	"syscall"
	"time"

	"cleathold/internal/audit"
	"cleathold/internal/scenario"
)

// supervise does what the plan does to one sender, and starts it again after each end.
func (r *run) supervise(num int) {
	w, x := r.env, r.processes[num]
	deeds := make(chan scenario.PlannedAction)
	w.wg.Go(func() {
		defer close(deeds)
		for _, d := range r.Plan.Actions {
			if d.Sender != num {
				continue
			}
			if !w.sleepUntil(d.At) {
				return
			}
			select {
			case deeds <- d:
			case <-w.ctx.Done():
				return
			}
		}
	})
	for w.ctx.Err() == nil {
		told := false
		select {
		case <-w.ctx.Done():
			return
		case d, some := <-deeds:
			if !some {
				deeds = nil
				continue
			}
			if !r.inject(x, d) {
				continue
			}
			told = true
		case <-x.Ended():
			w.Record(audit.Event{Kind: audit.Died, Sender: num})
			r.clients.SetDown(num, true)
		}
		r.mu.Lock()
		r.restarts++
		if !told {
			r.crashes++
		}
		r.mu.Unlock()
		if !w.sleep(restartDelay) {
			return
		}
		r.clients.SetDraining(num, false) // what is ordered by hand ends with the process
		if err := x.Start(); err != nil {
			w.cancel(err)
			return
		}
		if err := x.Ready(w.ctx, r.readyDeadline()); err != nil {
			if w.ctx.Err() == nil {
				w.cancel(err)
			}
			return
		}
		w.Record(audit.Event{Kind: audit.Ready, Sender: num})
		r.clients.SetDown(num, false)
	}
}

// inject does a deed to a sender, and tells whether its process has ended by it.
func (r *run) inject(x *Process, d scenario.PlannedAction) (ended bool) {
	w := r.env
	died := func(cause string) {
		w.Record(audit.Event{Kind: audit.Died, Sender: x.num, Cause: cause})
		r.clients.SetDown(x.num, true)
	}
	// later does something at the deed's end, unless the process has ended by then.
	later := func(do func()) {
		if d.Until == 0 {
			return
		}
		over := x.Ended()
		w.wg.Go(func() {
			if !w.sleepUntil(d.Until) {
				return
			}
			select {
			case <-over:
			default:
				do()
			}
		})
	}
	order := func(verb string, away bool) {
		if err := x.sendOrder(verb); err != nil {
			w.log.Warn("an order of the plan is not taken", "sender", x.num, "order", verb, "err", err)
			return
		}
		r.clients.SetDraining(x.num, away)
	}
	switch d.What {
	case "hup":
		x.Signal(syscall.SIGHUP)
	case "kill":
		died("")
		x.Stop(false)
		return true
	case "wipe":
		died(audit.Wiped)
		x.Stop(false)
		if err := x.wipeState(); err != nil {
			w.cancel(err)
		}
		return true
	case "term":
		died("")
		x.Stop(true)
		return true
	case "signals":
		died("")
		x.StopBySeries()
		return true
	case "stop":
		died("")
		x.Signal(syscall.SIGSTOP)
		later(func() {
			x.Signal(syscall.SIGCONT)
			w.Record(audit.Event{Kind: audit.Ready, Sender: x.num})
			r.clients.SetDown(x.num, false)
		})
	case "drain":
		order("drain", true)
		later(func() { order("activate", false) })
	case "activate":
		order("activate", false)
	case "retune":
		if err := x.reconfigure(d); err != nil {
			w.cancel(err)
		}
	}
	return false
}

// readyDeadline is when a sender that starts now must be ready.
func (r *run) readyDeadline() time.Time {
	if r.ReadyIn > 0 {
		return time.Now().Add(r.ReadyIn)
	}
	return time.Now().Add(readyTimeout)
}
