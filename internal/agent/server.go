package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

func (a *Agent) listen() (*admin.HTTPServer, error) {
	return admin.ListenCalls(a.cfg.Listen, map[string]http.HandlerFunc{
		"GET " + viewPath:           a.handleView,
		"POST " + commandPath:       a.handleCommand,
		"POST " + compatibilityPath: a.handleCompatibilityCheck,
		"POST " + observationsPath:  a.handleObservations,
		"POST " + joinPath:          a.handleJoin,
		"POST " + quorum.Path: func(w http.ResponseWriter, r *http.Request) {
			n, err := a.quorumNode()
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			n.Receive(w, r)
		},
	}, maxConnections, serverTimeout, a.log)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// readJSON takes a body; false: it was of no use, which is answered.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(into)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// handleView passes the question on to the leader, who sees all; if that can't be had this agent's own view has to do.
func (a *Agent) handleView(w http.ResponseWriter, r *http.Request) {
	if leader, leads := a.leadership(); leader != "" && !leads && r.Header.Get(forwardedHeader) == "" && r.URL.Query().Get("own") == "" {
		var v View
		if a.call(r.Context(), a.cfg.Peers[leader], viewPath, nil, &v) == nil {
			writeJSON(w, v)
			return
		}
	}
	writeJSON(w, a.view())
}

func (a *Agent) view() View {
	v := View{Agent: a.cfg.Name, At: time.Now().UTC(), Listed: a.fleet.endpoints()}
	counters := &a.traffic
	v.Traffic = Traffic{counters.reportedBytes.Load(), counters.reports.Load(), counters.polledBytes.Load(), counters.polls.Load()}
	if node, err := a.quorumNode(); err != nil {
		v.Why = err.Error()
	} else {
		s := node.Status()
		v.Quorum = &s
	}
	a.fleet.withLock(func(s *rollout.State, sights map[string]rollout.Observation) {
		v.State, v.Observations = deepCopy(s), maps.Clone(sights)
	})
	return v
}

func (a *Agent) handleObservations(w http.ResponseWriter, r *http.Request) {
	var report observationReport
	if readJSON(w, r, &report) && len(report.Observations) <= rollout.MaxSenders {
		a.fleet.observe(report.Observations...)
		if len(report.Endpoints) > 0 {
			a.fleet.setEndpoints(report.Agent, report.Endpoints)
		}
	}
}

func (a *Agent) handleJoin(w http.ResponseWriter, r *http.Request) {
	var member quorum.Member
	if !readJSON(w, r, &member) {
		return
	}
	if a.cfg.Peers[member.Name] == "" || member.Number == 0 {
		http.Error(w, "no agent of that name is known here", http.StatusForbidden)
		return
	}
	node, err := a.quorumNode()
	if err == nil {
		err = node.AddMember(r.Context(), member)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	a.log.Info("an agent is taken in", "name", member.Name, "seat", member.Number)
}

// handleCommand does what the tool asks for, by way of the leader: it alone sees the fleet.
func (a *Agent) handleCommand(w http.ResponseWriter, r *http.Request) {
	var call Call
	if !readJSON(w, r, &call) {
		return
	}
	leader, leads := a.leadership()
	if leader == "" {
		writeJSON(w, errorResult(quorum.ErrNoMajority))
		return
	}
	for !leads && r.Header.Get(forwardedHeader) == "" {
		var answer Result
		ctx, stop := a.whileLeads(r.Context(), leader)
		err := a.call(ctx, a.cfg.Peers[leader], commandPath, call, &answer)
		changed := ctx.Err() != nil && r.Context().Err() == nil
		stop()
		if err == nil || !changed || call.Command.Verb != rollout.Halt {
			if err != nil {
				answer = errorResult(fmt.Errorf("%w (the leading agent %s: %w)", ErrUnknown, leader, err))
			}
			writeJSON(w, answer)
			return
		}
		// A halt twice is a halt: whoever leads next is asked, as nothing more may go out meanwhile.
		by := time.Now().Add(commandTimeout)
		for leader, leads = a.leadership(); leader == "" && time.Now().Before(by) && sleep(r.Context(), leaderInterval); {
			leader, leads = a.leadership()
		}
		if leader == "" {
			writeJSON(w, errorResult(quorum.ErrNoMajority))
			return
		}
	}
	writeJSON(w, a.execute(r.Context(), call))
}

func (a *Agent) handleCompatibilityCheck(w http.ResponseWriter, r *http.Request) {
	var check CompatibilityCheck
	if !readJSON(w, r, &check) {
		return
	}
	if err := a.checkCompatibility(r.Context(), check); err != nil {
		writeJSON(w, Result{Text: err.Error(), Kind: KindRejected})
		return
	}
	writeJSON(w, Result{})
}

// whileLeads ends with its parent, or once another agent than that one leads, or none: what it was asked may never be
// answered then.
func (a *Agent) whileLeads(parent context.Context, leader string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(parent)
	go func() {
		defer stop()
		for sleep(ctx, leaderInterval) {
			if now, leads := a.leadership(); now != leader || leads {
				return
			}
		}
	}()
	return ctx, stop
}

// forwardedHeader marks a call that another agent has passed on: it is not passed on again.
const forwardedHeader = "X-Passed-By"
