package agent

import (
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"cleathold/internal/admin"
	"cleathold/internal/quorum"
	"cleathold/internal/rollout"
)

const (
	maxConnections = 128
	serverTimeout  = 15 * time.Second // for a whole request; allows for a plan's compatibility checks at all agents
	maxBodySize    = 8 << 20          // bytes of a request body
)

// listen opens the listener for calls from the other agents and the command line.
func (a *Agent) listen() (*admin.HTTPServer, error) {
	return admin.ListenCalls(a.cfg.Listen, map[string]http.HandlerFunc{
		"GET " + viewPath:           a.handleView,
		"POST " + commandPath:       a.handleCommand,
		"POST " + compatibilityPath: a.handleCompatibilityCheck,
		"POST " + observationsPath:  a.handleObservations,
		"POST " + joinPath:          a.handleJoin,
		"POST " + quorum.Path:       a.handleQuorum,
	}, maxConnections, serverTimeout, a.log)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// readJSON decodes the request's body. If it can't be decoded readJSON responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, result any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(result)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// handleView responds with the leader's view, which has the observations of all senders. It responds with this agent's
// own view if the leader does not respond, or if the request asks for it.
func (a *Agent) handleView(w http.ResponseWriter, r *http.Request) {
	leader, leads := a.leadership()
	ownOnly := r.Header.Get(forwardedHeader) != "" || r.URL.Query().Get("own") != ""
	if leader != "" && !leads && !ownOnly {
		var v FleetView
		if a.call(r.Context(), a.cfg.Peers[leader], viewPath, nil, &v) == nil {
			writeJSON(w, v)
			return
		}
	}
	writeJSON(w, a.view())
}

// view returns this agent's own view.
func (a *Agent) view() FleetView {
	v := FleetView{Agent: a.cfg.Name, At: time.Now().UTC(), Endpoints: a.fleet.endpoints(), Traffic: a.traffic.totals()}
	if node, err := a.quorumNode(); err != nil {
		v.NoQuorumReason = err.Error()
	} else {
		status := node.Status()
		v.Quorum = &status
	}
	a.fleet.withLock(func(state *rollout.State, observations map[string]rollout.Observation) {
		v.State, v.Observations = deepCopy(state), maps.Clone(observations)
	})
	return v
}

// handleCommand executes or forwards an operator's command.
func (a *Agent) handleCommand(w http.ResponseWriter, r *http.Request) {
	var call CommandRequest
	if readJSON(w, r, &call) {
		writeJSON(w, a.submit(r.Context(), call, r.Header.Get(forwardedHeader) != ""))
	}
}

// handleCompatibilityCheck checks this agent's senders for a plan that the leader drafts.
func (a *Agent) handleCompatibilityCheck(w http.ResponseWriter, r *http.Request) {
	var check CompatibilityCheck
	if !readJSON(w, r, &check) {
		return
	}
	if err := a.checkCompatibility(r.Context(), check); err != nil {
		writeJSON(w, CommandResult{Text: err.Error(), Kind: KindRejected})
		return
	}
	writeJSON(w, CommandResult{})
}

// handleObservations stores another agent's report.
func (a *Agent) handleObservations(w http.ResponseWriter, r *http.Request) {
	var report observationReport
	if readJSON(w, r, &report) && len(report.Observations) <= rollout.MaxSenders {
		a.fleet.observe(report.Observations...)
		if len(report.Endpoints) > 0 {
			a.fleet.setEndpoints(report.Agent, report.Endpoints)
		}
	}
}

// handleJoin adds an agent to the quorum. It must be one of the configured peers.
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
	a.log.Info("member added", "agent", member.Name, "member", member.Number)
}

// handleQuorum passes the quorum's messages to this agent's node.
func (a *Agent) handleQuorum(w http.ResponseWriter, r *http.Request) {
	node, err := a.quorumNode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	node.Receive(w, r)
}
