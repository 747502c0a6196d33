package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	upgradeTimeout = 6 * time.Second // from the start of a new process until it serves
	// upgradeAdminPorts is the number of ports of the admin API that the processes of a sender use in turn.
	upgradeAdminPorts = 8
	firstAdminPort    = 9001
)

// upgrade starts a new process, which takes over, and ends the old one. It reports whether the new process serves.
func (s *supervisor) upgrade() (serves bool) {
	env := s.run.env
	if err := s.process.upgrade(env.ctx, env.heldList(s.number)); err != nil {
		env.log.Error("upgrade failed", "sender", s.number, "err", err)
		s.process.Stop(false)
		return false
	}
	return true
}

// upgrade starts another process while the current one serves, with an admin address of its own. Once the new process
// serves, the old one gets SIGTERM, and SIGKILL after killTimeout. On an error both processes have ended.
func (p *Process) upgrade(ctx context.Context, known knownList) error {
	p.mu.Lock()
	old, oldEnded := p.cmd, p.ended
	p.mu.Unlock()
	admin, err := nextAdmin(p.adminAddr())
	if err != nil {
		return err
	}
	err = editConfig(p.configPath(), func(config map[string]any) {
		config["admin"] = admin
		if len(known.Servers) > 0 {
			config["known"] = known
		}
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.spec.Admin = admin
	p.mu.Unlock()
	if err = p.Start(); err == nil {
		err = p.awaitUpgrade(ctx)
	}
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldEnded:
	case <-time.After(killTimeout):
		old.Process.Signal(syscall.SIGKILL)
		<-oldEnded
	}
	return err
}

// awaitUpgrade waits until the new process reports at its admin address that it serves.
func (p *Process) awaitUpgrade(ctx context.Context) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(upgradeTimeout); time.Now().Before(deadline); {
		if r, err := client.Get("http://" + p.adminAddr() + "/v1/readyz"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.Ended():
			return fmt.Errorf("harness: the new process of sender n%d ended: %v; its log ends: %s", p.num, p.exitError(), p.logTail())
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return fmt.Errorf("harness: the new process of sender n%d does not serve in time; its log ends: %s", p.num, p.logTail())
}

// adminAddr returns the address of the admin API of the current process.
func (p *Process) adminAddr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spec.Admin
}

// nextAdmin returns the admin address of the next process on the same host.
func nextAdmin(current string) (string, error) {
	host, port, err := net.SplitHostPort(current)
	if err != nil {
		return "", fmt.Errorf("harness: %w", err)
	}
	number := 0
	if _, err := fmt.Fscan(strings.NewReader(port), &number); err != nil {
		return "", fmt.Errorf("harness: %w", err)
	}
	next := firstAdminPort + (number+1-firstAdminPort)%upgradeAdminPorts
	return net.JoinHostPort(host, fmt.Sprint(next)), nil
}
