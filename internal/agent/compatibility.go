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

// CompatibilityCheck asks an agent whether its senders can run a version, and go back from it.
type CompatibilityCheck struct {
	To      rollout.Version `json:"to"`
	Senders []string        `json:"senders"`
}

// ProgramInfo is what a program tells of itself, by `version --json`.
type ProgramInfo struct {
	Version string `json:"version"`
	Reads   []int  `json:"journal_reads"` // forms of the journal that it understands
	Writes  int    `json:"journal_writes"`
}

// checkPlan asks each agent that has senders in the plan. All must say yes before the first stage.
func (a *Agent) checkPlan(ctx context.Context, plan *rollout.Plan) error {
	sendersOf := map[string][]string{}
	a.fleet.withLock(func(state *rollout.State, _ map[string]rollout.Observation) {
		for name, t := range plan.Tasks {
			if m := state.Members[name]; m != nil && t.Step == rollout.Waiting {
				sendersOf[m.Agent] = append(sendersOf[m.Agent], name)
			}
		}
	})
	var mu sync.Mutex
	var failures []string
	var wg sync.WaitGroup
	for agent, names := range sendersOf {
		wg.Go(func() {
			var answer Result
			var err error
			if agent == a.cfg.Name {
				err = a.checkCompatibility(ctx, CompatibilityCheck{plan.To, names})
			} else if addr := a.cfg.Peers[agent]; addr == "" {
				err = errors.New("its address is not known here")
			} else if err = a.callUntil(ctx, addr, compatibilityPath, CompatibilityCheck{plan.To, names}, &answer, time.Now().Add(2*versionTimeout)); err == nil && answer.Text != "" {
				err = errors.New(answer.Text)
			}
			if err != nil {
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

// checkCompatibility looks at what a version needs on this machine: a program that runs and can go on from the old one's journal, and
// the old one from its, or a configuration for each sender.
func (a *Agent) checkCompatibility(ctx context.Context, check CompatibilityCheck) error {
	next, err := programInfo(ctx, check.To.Program)
	if check.To.Program != "" && err != nil {
		return err
	}
	for _, s := range a.supervisors {
		if !slices.Contains(check.Senders, s.Name) {
			continue
		}
		if check.To.Config != "" {
			if _, err := os.Stat(check.To.Config + "/" + s.Name + ".json"); err != nil {
				return fmt.Errorf("no configuration for %s: %w", s.Name, err)
			}
		}
		if check.To.Program == "" {
			continue
		}
		old, err := programInfo(ctx, s.version().Program)
		switch {
		case err != nil:
			return fmt.Errorf("%s: the version that it runs can't be asked whether there is a way back: %w", s.Name, err)
		case !slices.Contains(next.Reads, old.Writes):
			return fmt.Errorf("%s: %s can't read the journal that %s writes (form %d)", s.Name, check.To.Name, s.version().Name, old.Writes)
		case !slices.Contains(old.Reads, next.Writes):
			return fmt.Errorf("%s: no way back: %s can't read the journal that %s writes (form %d)", s.Name, s.version().Name, check.To.Name, next.Writes)
		}
	}
	return nil
}

func programInfo(ctx context.Context, program string) (info ProgramInfo, err error) {
	if program == "" {
		return info, errors.New("no program")
	}
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(versionTimeout))
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
