package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/simulation"
)

// OpenPlatform opens an address of discovery for each sender, by which it is known who
// asks, and returns them. Notices go there, too.
func (env *Environment) OpenPlatform() ([]string, error) {
	var list []string
	for i := range env.plan.Scenario.Senders {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rig: discovery: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /catalog/members", func(out http.ResponseWriter, r *http.Request) { env.serveMembers(i, out, r) })
		mux.HandleFunc("POST /status", func(out http.ResponseWriter, r *http.Request) { env.serveReports(i, out, r) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
		env.wg.Go(func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				env.cancel(fmt.Errorf("rig: discovery of sender %d died: %w", i, err))
			}
		})
		env.wg.Go(func() {
			<-env.ctx.Done()
			server.Close()
		})
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// serveMembers answers with the list, or with what changes in it.
func (env *Environment) serveMembers(sender int, out http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, wait, watch := int64(0), time.Duration(0), query.Has("since")
	if watch {
		v, err := strconv.ParseInt(query.Get("since"), 10, 64)
		ms, err2 := strconv.ParseInt(query.Get("timeout_ms"), 10, 64)
		if err != nil || err2 != nil || ms < 0 {
			http.Error(out, "since and timeout_ms: whole numbers", http.StatusBadRequest)
			return
		}
		since, wait = v, min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)
	}
	until := time.Now().Add(wait)
	delayed := false
	for {
		env.mu.Lock()
		now := env.now()
		if turn := env.linksChanged; env.discoveryCut[sender] { // what it would be told does not arrive
			env.mu.Unlock()
			select {
			case <-turn:
				continue
			case <-r.Context().Done():
			case <-env.ctx.Done():
			}
			return
		}
		if _, blind := env.simulated.DiscoveryOutage(now); blind {
			env.simulated.Polled(now, sender, false, true)
			env.mu.Unlock()
			http.Error(out, "discovery is down", http.StatusServiceUnavailable)
			return
		}
		var lines []simulation.ListedEndpoint
		version, whole := int64(0), !watch
		if watch {
			lines, version, whole = env.simulated.ListChanges(now, sender, since)
		} else {
			lines, version = env.simulated.FullList(now, sender)
		}
		if whole || len(lines) > 0 || !time.Now().Before(until) {
			fault, cut := env.drawAnswerFailure(), env.faultRNG.Float64()
			if fault == Delays && !delayed {
				delayed = true
				late := time.Duration(cut * float64(maxAnswerDelay))
				env.mu.Unlock()
				if !env.sleep(late) {
					return
				}
				continue
			}
			if fault == Silent {
				env.mu.Unlock()
				<-r.Context().Done() // the sender gives it up, or the world ends
				return
			}
			text := env.encodeList(sender, lines, version, whole)
			env.simulated.Polled(now, sender, false, false)
			env.mu.Unlock()
			if fault != "" && fault != Delays {
				env.writeFailedAnswer(out, fault, text, cut)
				return
			}
			if watch {
				env.recordWatchTail(sender, version)
			}
			out.Header().Set("Content-Type", "application/json")
			out.Write(text)
			return
		}
		env.simulated.Polled(now, sender, true, false)
		next, some := env.simulated.NextListUpdate(sender, since)
		bell := env.listChanged
		env.mu.Unlock()
		rest := time.Until(until)
		if some {
			rest = min(rest, next-now)
		}
		timer := time.NewTimer(max(rest, time.Millisecond))
		select {
		case <-timer.C:
		case <-bell:
		case <-r.Context().Done():
		case <-env.ctx.Done():
		}
		timer.Stop()
		if r.Context().Err() != nil || env.ctx.Err() != nil {
			return
		}
	}
}

// encodeList writes lines as PROTOCOL has it, and notes what is told; under the lock.
func (env *Environment) encodeList(sender int, lines []simulation.ListedEndpoint, version int64, whole bool) []byte {
	type server struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Zone    string  `json:"zone"`
		Kind    string  `json:"kind"`
		Cell    int     `json:"cell"`
		State   string  `json:"state"`
		Weight  float64 `json:"weight"`
		Started int64   `json:"started_ms"`
	}
	answer := struct {
		Version int64    `json:"version"`
		Full    bool     `json:"full"`
		Servers []server `json:"servers"`
	}{version, whole, []server{}}
	states := map[control.EndpointState]string{control.Ready: "up", control.Draining: "draining", control.Removed: "removed"}
	s := env.plan.Scenario
	for _, l := range lines {
		if !whole || l.State != control.Ready {
			env.record(audit.Event{Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready})
		}
		answer.Servers = append(answer.Servers, server{
			l.ID, env.addressOf(sender, l), s.Zones[l.Zone], s.Kinds[l.Kind].Name, l.Dest, states[l.State], l.Weight, 0,
		})
	}
	text, _ := json.Marshal(answer) // nothing in it can fail
	return text
}
