package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"cleathold/internal/rollout"
)

// versionTimeout is how long a program may take to print its version.
const versionTimeout = 5 * time.Second

// checkPlan makes each agent with senders in the plan check their compatibility. The error wraps rollout.ErrRejected
// and names every agent whose check failed.
func (a *Agent) checkPlan(ctx context.Context, plan *rollout.Plan) error {
	sendersOf := map[string][]string{} // by agent
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		for name, task := range plan.Tasks {
			if member := state.Members[name]; member != nil && task.Step == rollout.Waiting {
				sendersOf[member.Agent] = append(sendersOf[member.Agent], name)
			}
		}
	})
	var mu sync.Mutex
	var failures []string
	var wg sync.WaitGroup
	for agent, senders := range sendersOf {
		wg.Go(func() {
			if err := a.checkAt(ctx, agent, CompatibilityCheck{plan.To, senders}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Sprintf("agent %s: %v", agent, err))
			}
		})
	}
	wg.Wait()
	if len(failures) > 0 {
		slices.Sort(failures)
		return fmt.Errorf("%w: %s", rollout.ErrRejected, strings.Join(failures, "; "))
	}
	return nil
}

// checkAt runs the compatibility check at an agent, which may be this one.
func (a *Agent) checkAt(ctx context.Context, agent string, check CompatibilityCheck) error {
	if agent == a.cfg.Name {
		return a.checkCompatibility(ctx, check)
	}
	addr := a.cfg.Peers[agent]
	if addr == "" {
		return errors.New("its address is not known here")
	}
	var result CommandResult
	if err := a.callWithin(ctx, 2*versionTimeout, addr, compatibilityPath, check, &result); err != nil {
		return err
	}
	if result.Text != "" {
		return errors.New(result.Text)
	}
	return nil
}

// checkCompatibility checks whether senders of this agent can run a version. A new program must run on this machine and
// be able to read the old program's write-ahead log, and the old program must be able to read the new one's for a
// rollback. A new configuration must exist for each sender.
func (a *Agent) checkCompatibility(ctx context.Context, check CompatibilityCheck) error {
	next, err := readProgramInfo(ctx, check.To.Program)
	if check.To.Program != "" && err != nil {
		return err
	}
	for _, s := range a.supervisors {
		name := s.cfg.Name
		if !slices.Contains(check.Senders, name) {
			continue
		}
		if check.To.Config != "" {
			if _, err := os.Stat(check.To.Config + "/" + name + ".json"); err != nil {
				return fmt.Errorf("no configuration for %s: %w", name, err)
			}
		}
		if check.To.Program == "" {
			continue
		}
		version := s.version()
		old, err := readProgramInfo(ctx, version.Program)
		if err != nil {
			return fmt.Errorf("%s: the version that it runs can't be asked whether there is a way back: %w", name, err)
		}
		if err := checkLogFormats(old, next, version.Name, check.To.Name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// checkLogFormats checks that each of two programs reads the write-ahead log that the other writes.
func checkLogFormats(old, next ProgramInfo, oldName, nextName string) error {
	if !slices.Contains(next.Reads, old.Writes) {
		return fmt.Errorf("%s can't read the journal that %s writes (form %d)", nextName, oldName, old.Writes)
	}
	if !slices.Contains(old.Reads, next.Writes) {
		return fmt.Errorf("no way back: %s can't read the journal that %s writes (form %d)", oldName, nextName, next.Writes)
	}
	return nil
}

// readProgramInfo runs a program with `version --json` and returns what it prints.
func readProgramInfo(ctx context.Context, program string) (info ProgramInfo, err error) {
	if program == "" {
		return info, errors.New("no program")
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, program, "version", "--json")
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	command.WaitDelay = time.Second
	if err := command.Run(); err != nil {
		return info, fmt.Errorf("%s can't be run: %w: %.200s", program, err, strings.TrimSpace(stderr.String()))
	}
	if err := json.Unmarshal(stdout.Bytes(), &info); err != nil || len(info.Reads) == 0 {
		return info, fmt.Errorf("%s does not say which journals it reads; it is no version that agents can manage", program)
	}
	return info, nil
}
