package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/simulation"
)

// maxWatchTimeout limits how long a watch waits for a change.
const maxWatchTimeout = time.Minute

// OpenPlatform starts a server for discovery requests and delivery reports for each sender, and returns the addresses
// by sender. Each sender has an address of its own, so that the address identifies the caller. The servers run until
// the environment is closed.
func (env *Environment) OpenPlatform() ([]string, error) {
	var addresses []string
	for i := range env.plan.Scenario.Senders {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("harness: discovery: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
			env.serveMembers(i, w, r)
		})
		mux.HandleFunc("POST /status", func(w http.ResponseWriter, r *http.Request) { env.serveReports(i, w, r) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
		env.wg.Go(func() {
			if err := server.Serve(&responseFaultListener{l, env}); !errors.Is(err, http.ErrServerClosed) {
				env.cancel(fmt.Errorf("harness: discovery server of sender %d failed: %w", i, err))
			}
		})
		env.wg.Go(func() {
			<-env.ctx.Done()
			server.Close()
		})
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// A listQuery contains the parameters of a poll: it requests the full list or, with watch, the changes since a version.
// A watch waits for a change.
type listQuery struct {
	watch bool
	since int64
	wait  time.Duration
}

func parseListQuery(values url.Values) (q listQuery, err error) {
	if !values.Has("since") {
		return listQuery{}, nil
	}
	since, err1 := strconv.ParseInt(values.Get("since"), 10, 64)
	ms, err2 := strconv.ParseInt(values.Get("timeout_ms"), 10, 64)
	if err1 != nil || err2 != nil || ms < 0 {
		return listQuery{}, errors.New("since and timeout_ms: whole numbers")
	}
	return listQuery{watch: true, since: since, wait: min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)}, nil
}

// A listPoll is a discovery request of a sender that is being served.
type listPoll struct {
	env      *Environment
	sender   int
	query    listQuery
	w        http.ResponseWriter
	ctx      context.Context // of the request
	deadline time.Time       // of a watch
	delayed  bool            // the answer has been delayed by an AnswerFault; it is delayed once at most
}

// A listAnswer is an answer to a poll, with the failure that is injected into it.
type listAnswer struct {
	failure  AnswerFailure // empty = the answer does not fail
	fraction float64       // random: the part of the answer that is written, or of the maximum delay
	body     []byte
	version  int64
}

// serveMembers handles discovery requests. It answers with the full list or with its changes.
func (env *Environment) serveMembers(sender int, w http.ResponseWriter, r *http.Request) {
	query, err := parseListQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p := &listPoll{
		env: env, sender: sender, query: query, w: w, ctx: r.Context(), deadline: time.Now().Add(query.wait),
	}
	for !p.step() {
	}
}

// step checks the list once, and either answers the request or waits until the list must be checked again. It returns
// true when the request is done.
func (p *listPoll) step() (done bool) {
	env := p.env
	env.mu.Lock()
	now := env.now()
	if env.plan.Scenario.Settings.PushedLists && !env.agentReachable(now, p.sender) {
		env.simulated.Polled(now, p.sender, false, true)
		env.mu.Unlock()
		p.awaitEnd()
		return true
	}
	if env.discoveryCut[p.sender] {
		changed := env.linksChanged
		env.mu.Unlock()
		return !p.awaitLink(changed)
	}
	if _, outage := env.simulated.DiscoveryOutage(now); outage {
		env.simulated.Polled(now, p.sender, false, true)
		env.mu.Unlock()
		http.Error(p.w, "discovery is down", http.StatusServiceUnavailable)
		return true
	}
	lines, version, full := p.list(now)
	if full || len(lines) > 0 || env.plan.Scenario.Settings.PushedLists || !time.Now().Before(p.deadline) {
		a := p.prepareAnswer(now, lines, version, full)
		env.mu.Unlock()
		return p.send(a)
	}
	env.simulated.Polled(now, p.sender, true, false)
	next, ok := env.simulated.NextListUpdate(p.sender, p.query.since)
	changed := env.listChanged
	env.mu.Unlock()
	wait := time.Until(p.deadline)
	if ok {
		wait = min(wait, next-now)
	}
	return !p.awaitList(changed, max(wait, time.Millisecond))
}

// list returns the requested entries. The caller must hold env.mu.
func (p *listPoll) list(now time.Duration) (lines []simulation.ListedEndpoint, version int64, full bool) {
	if p.query.watch {
		return p.env.simulated.ListChanges(now, p.sender, p.query.since)
	}
	lines, version = p.env.simulated.FullList(now, p.sender)
	return lines, version, true
}

// awaitLink waits until the state of links changes. It returns false if the request or the run ends first.
func (p *listPoll) awaitLink(changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-p.ctx.Done():
	case <-p.env.ctx.Done():
	}
	return false
}

// awaitEnd waits until the sender closes the connection or the run ends.
func (p *listPoll) awaitEnd() {
	select {
	case <-p.ctx.Done():
	case <-p.env.ctx.Done():
	}
}

// awaitList waits until the list changes or a timeout passes. It returns false if the request or the run has ended.
func (p *listPoll) awaitList(changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-p.ctx.Done():
	case <-p.env.ctx.Done():
	}
	return p.ctx.Err() == nil && p.env.ctx.Err() == nil
}

// prepareAnswer randomly decides whether the answer fails, and encodes it unless it is delayed or suppressed. The
// caller must hold env.mu.
func (p *listPoll) prepareAnswer(
	now time.Duration, lines []simulation.ListedEndpoint, version int64, full bool,
) listAnswer {
	env := p.env
	a := listAnswer{failure: env.drawAnswerFailure(), fraction: env.faultRNG.Float64(), version: version}
	if a.failure == Delays && p.delayed {
		a.failure = ""
	}
	if a.failure == Delays || a.failure == Silent {
		return a
	}
	a.body = env.encodeList(p.sender, lines, version, full)
	if a.failure == "" && env.faults.HeldLists {
		env.heldLists[p.sender] = env.knownList(now, p.sender)
	}
	env.simulated.Polled(now, p.sender, false, false)
	return a
}

// send sends an answer according to its failure mode. For a delayed answer it waits and returns false: the list must be
// checked again.
func (p *listPoll) send(a listAnswer) (done bool) {
	env := p.env
	switch a.failure {
	case Delays:
		p.delayed = true
		return !env.sleep(time.Duration(a.fraction * float64(maxAnswerDelay)))
	case Silent:
		p.awaitEnd()
		return true
	case "":
	default:
		env.writeFailedAnswer(p.w, a)
		return true
	}
	if p.query.watch && !env.plan.Scenario.Settings.PushedLists {
		env.recordWatchTail(p.sender, a.version)
	}
	p.w.Header().Set("Content-Type", "application/json")
	p.w.Write(a.body)
	return true
}

// A listedServer is an endpoint in a discovery answer, in the format that PROTOCOL defines.
type listedServer struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// A listBody is the body of a discovery answer, in the format that PROTOCOL defines.
type listBody struct {
	Version int64          `json:"version"`
	Full    bool           `json:"full"`
	Servers []listedServer `json:"servers"`
}

// listedServer returns the entry of an endpoint in the list for a sender. The caller must hold env.mu.
func (env *Environment) listedServer(sender int, l simulation.ListedEndpoint) listedServer {
	s := env.plan.Scenario
	return listedServer{
		ID: l.ID, Addr: env.addressOf(sender, l), Zone: s.Zones[l.Zone], Kind: s.Kinds[l.Kind].Name, Cell: l.Dest,
		State: stateNames[l.State], Weight: l.Weight,
	}
}

// stateNames maps the states of endpoints to their names in PROTOCOL.
var stateNames = map[control.EndpointState]string{
	control.Ready: "up", control.Draining: "draining", control.Removed: "removed",
}

// encodeList encodes a list, and records the changes of which it notifies the sender. The caller must hold env.mu.
func (env *Environment) encodeList(sender int, lines []simulation.ListedEndpoint, version int64, full bool) []byte {
	answer := listBody{Version: version, Full: full, Servers: []listedServer{}}
	for _, l := range lines {
		if !full || l.State != control.Ready {
			env.record(audit.Event{
				Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready,
			})
		}
		answer.Servers = append(answer.Servers, env.listedServer(sender, l))
	}
	text, _ := json.Marshal(answer) // cannot fail: the answer contains only strings, booleans and finite numbers
	return text
}
