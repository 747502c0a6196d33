package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["held-class"] = heldClass }

// heldScript is a settings script that keeps fee payments that could not be delivered, for an operator to send again.
const heldScript = `held(folder = "held", max_bytes = 16 * MB, max_records = 1000, max_age = 1 * DAY, keep_ended = 1 * DAY, queue = 64)
admin(socket = "admin.sock")
resend(share = 0.5, within = 10 * MINUTE, max_out = 4)

def hold(record, partner):
    return HOLD

def after(record, partner):
    return keep()
`

// useHeld has the sender keep undeliverable messages.
func (s *sender) useHeld() error {
	path := filepath.Join(s.dir, "held.star")
	s.env = append(s.env, "CLEATHOLD_SETTINGS="+path)
	return os.WriteFile(path, []byte(heldScript), 0o600)
}

// held runs a command of the operators on the kept messages, and returns its output.
func (s *sender) held(args ...string) string {
	c := exec.Command(filepath.Join(s.world.root, "bin", "cleathold"),
		append([]string{"held", args[0], "--settings", filepath.Join(s.dir, "held.star")}, args[1:]...)...)
	out, err := c.CombinedOutput()
	s.world.rec.note("held %v: %v\n%s", args, err, out)
	return string(out)
}

// heldClass: a fee payment that its partner, which is shut, has turned away is kept, and ordered to be sent again. The
// partner takes it and answers late; meanwhile the sender is killed and started again. Before the order, a class has
// vanished from the settings.
func heldClass(w *world) (verdict, error) {
	if err := w.newPlatform(20 * time.Millisecond); err != nil {
		return verdict{}, err
	}
	e, err := w.listEndpoint("s-0", 1)
	if err != nil {
		return verdict{}, err
	}
	if err := w.others(); err != nil {
		return verdict{}, err
	}
	e.behave(false, behavior{status: 503})
	settings := hollow()
	if w.sender, err = w.newSender(settings); err != nil {
		return verdict{}, err
	}
	if err := w.sender.useHeld(); err != nil {
		return verdict{}, err
	}
	if err := w.sender.start(); err != nil {
		return verdict{}, err
	}
	defer w.traffic()()
	time.Sleep(1500 * time.Millisecond)
	m := w.submit("fee-payment", 1, 3*time.Second, []byte("pay"))
	time.Sleep(5 * time.Second)
	if w.ending(m).effects > 0 || m.status != 202 {
		return verdict{}, errors.New("the fee payment was not taken on, or has run already")
	}
	if w.trouble {
		settings["profiles"] = settings["profiles"].([]any)[1:] // without status
		if err := w.sender.writeConfig(); err != nil {
			return verdict{}, err
		}
		w.rec.note("SIGHUP: the class status has vanished")
		w.sender.process.Process.Signal(syscall.SIGHUP)
	}
	time.Sleep(2 * time.Second)
	w.rec.note("the partner is open again, and answers after 1.2 s")
	e.behave(true, behavior{after: 1200 * time.Millisecond, status: 200})
	w.sender.held("resend", "--all")
	for deadline := time.Now().Add(20 * time.Second); w.ending(m).effects == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return verdict{}, errors.New("the kept message was not sent again")
		}
	}
	time.Sleep(400 * time.Millisecond)
	if w.trouble {
		if err := w.sender.restart(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(12 * time.Second)
	w.sender.held("list")
	effects := w.ending(m).effects
	return verdict{effects > 1, fmt.Sprintf("the fee payment took effect %d times; its partner had %d%% of the traffic",
		effects, w.share(1))}, nil
}
