package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/control"
	"cleathold/internal/audit"
	"cleathold/internal/simulation"
)

const (
	noticesMost = 1 << 20 // bytes in one call
	watchMost   = time.Minute
)

// OpenPlatform opens an address of discovery for each sender, by which it is known who
// asks, and returns them. Notices go there, too.
func (w *Environment) OpenPlatform() ([]string, error) {
	var list []string
	for i := range w.plan.Scenario.Senders {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("rig: discovery: %w", err)
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /catalog/members", func(out http.ResponseWriter, r *http.Request) { w.members(i, out, r) })
		mux.HandleFunc("POST /status", func(out http.ResponseWriter, r *http.Request) { w.status(i, out, r) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
		w.wg.Go(func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				w.end(fmt.Errorf("rig: discovery of sender %d died: %w", i, err))
			}
		})
		w.wg.Go(func() {
			<-w.ctx.Done()
			server.Close()
		})
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// members answers with the list, or with what changes in it.
func (w *Environment) members(sender int, out http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, wait, watch := int64(0), time.Duration(0), query.Has("since")
	if watch {
		v, err := strconv.ParseInt(query.Get("since"), 10, 64)
		ms, err2 := strconv.ParseInt(query.Get("timeout_ms"), 10, 64)
		if err != nil || err2 != nil || ms < 0 {
			http.Error(out, "since and timeout_ms: whole numbers", http.StatusBadRequest)
			return
		}
		since, wait = v, min(time.Duration(ms)*time.Millisecond, watchMost)
	}
	until := time.Now().Add(wait)
	delayed := false
	for {
		w.mu.Lock()
		now := w.now()
		if turn := w.turn; w.cutOff[sender] { // what it would be told does not arrive
			w.mu.Unlock()
			select {
			case <-turn:
				continue
			case <-r.Context().Done():
			case <-w.ctx.Done():
			}
			return
		}
		if _, blind := w.ground.DiscoveryOutage(now); blind {
			w.ground.Polled(now, sender, false, true)
			w.mu.Unlock()
			http.Error(out, "discovery is down", http.StatusServiceUnavailable)
			return
		}
		var lines []simulation.ListedEndpoint
		version, whole := int64(0), !watch
		if watch {
			lines, version, whole = w.ground.ListChanges(now, sender, since)
		} else {
			lines, version = w.ground.FullList(now, sender)
		}
		if whole || len(lines) > 0 || !time.Now().Before(until) {
			fault, cut := w.answerFault(), w.chance.Float64()
			if fault == Delays && !delayed {
				delayed = true
				late := time.Duration(cut * float64(delayMost))
				w.mu.Unlock()
				if !w.sleep(late) {
					return
				}
				continue
			}
			if fault == Silent {
				w.mu.Unlock()
				<-r.Context().Done() // the sender gives it up, or the world ends
				return
			}
			text := w.list(sender, lines, version, whole)
			w.ground.Polled(now, sender, false, false)
			w.mu.Unlock()
			if fault != "" && fault != Delays {
				w.spoil(out, fault, text, cut)
				return
			}
			if watch {
				w.tail(sender, version)
			}
			out.Header().Set("Content-Type", "application/json")
			out.Write(text)
			return
		}
		w.ground.Polled(now, sender, true, false)
		next, some := w.ground.NextListUpdate(sender, since)
		bell := w.bell
		w.mu.Unlock()
		rest := time.Until(until)
		if some {
			rest = min(rest, next-now)
		}
		timer := time.NewTimer(max(rest, time.Millisecond))
		select {
		case <-timer.C:
		case <-bell:
		case <-r.Context().Done():
		case <-w.ctx.Done():
		}
		timer.Stop()
		if r.Context().Err() != nil || w.ctx.Err() != nil {
			return
		}
	}
}

// list writes lines as PROTOCOL has it, and notes what is told; under the lock.
func (w *Environment) list(sender int, lines []simulation.ListedEndpoint, version int64, whole bool) []byte {
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
	s := w.plan.Scenario
	for _, l := range lines {
		if !whole || l.State != control.Ready {
			w.note(audit.Event{Kind: audit.Notified, Sender: sender, Endpoint: l.ID, Dest: l.Dest, Leaves: l.State != control.Ready})
		}
		answer.Servers = append(answer.Servers, server{
			l.ID, w.addressOf(sender, l), s.Zones[l.Zone], s.Kinds[l.Kind].Name, l.Dest, states[l.State], l.Weight, 0,
		})
	}
	text, _ := json.Marshal(answer) // nothing in it can fail
	return text
}

// status takes notices, also while discovery is down.
func (w *Environment) status(sender int, out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, noticesMost))
	if err != nil || !gjson.ValidBytes(body) && !linesValid(body) {
		http.Error(out, "notices unreadable", http.StatusBadRequest)
		return
	}
	gjson.ForEachLine(string(body), func(line gjson.Result) bool {
		id, deferred := line.Get("id").String(), line.Get("status").String() == "deferred"
		again := time.Duration(line.Get("again_ms").Float() * float64(time.Millisecond))
		w.Record(audit.Event{Kind: audit.Notice, Sender: sender, Message: id, Deferred: deferred, RetryAfter: again})
		w.heard(id, deferred, again)
		return true
	})
	out.WriteHeader(http.StatusNoContent)
}

func linesValid(body []byte) bool {
	valid := true
	gjson.ForEachLine(string(body), func(line gjson.Result) bool {
		valid = valid && line.IsObject() && line.Get("id").Exists()
		return valid
	})
	return valid
}
