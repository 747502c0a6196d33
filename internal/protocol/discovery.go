package protocol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/control"
	"cleathold/internal/state"
)

const (
	listPath = "/catalog/members"
	// pollTimeout is how long an answer may take, and how much longer than it should wait a watch may.
	pollTimeout = 1200 * time.Millisecond
	// maxLongPoll is the longest that a watch is asked to wait. One that has fallen silent is noticed that much and
	// listSpan later, and asked anew within another listSpan: under the 6 s after which what it missed counts as told.
	maxLongPoll = 3 * time.Second
	// minPollInterval is too soon for an answer without news. Less than the time
	// in which the next call still continues a watch.
	minPollInterval = 100 * time.Millisecond
	// maxAnswerGap is the longest pause within an answer. What discovery has begun to write counts as told, so that one
	// which breaks off is asked for again long before the grace of drains is over.
	maxAnswerGap = 300 * time.Millisecond
	// minRetryBackoff is waited before an answer that broke off is asked for again; doubled up to retryMost.
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 640 * time.Millisecond
	// fleetBackoffFraction of the grace of drains takes the place of retryFirst in a large fleet, and retryFleetMost that of retryMost:
	// what was told to all of it at one instant may have broken off for all.
	fleetBackoffFraction = 0.3
	maxFleetBackoff      = 2400 * time.Millisecond
	// refusedBackoffDivisor parts of the time over which a fleet spreads its questions make the first pause after one that was refused.
	refusedBackoffDivisor = 4
	// maxPauseFraction of the grace of drains is the most that a large fleet's sender rests after news. A watch goes on for 200 ms
	// after an answer, in which changes count as told: they must be known before the grace is over.
	maxPauseFraction = 0.4
	// pollOpenDelay is how long a watch has been open when it counts as received: discovery answers 503 where one waited too long.
	// A rest and this are over before sends would be held back.
	pollOpenDelay = 900 * time.Millisecond
)

// errNoAnswer tells of a question whose answer did not come in its time.
var errNoAnswer = errors.New("no whole answer in time")

// An brokenAnswerError tells of an answer that began and can't be read, or not to its end. What it told is not known.
type brokenAnswerError struct {
	startedAt time.Time // when its first byte was there
	body      []byte    // as far as it came
	cause     error
}

func (e *brokenAnswerError) Error() string { return "the answer broke off: " + e.cause.Error() }

func (e *brokenAnswerError) Unwrap() error { return e.cause }

// DiscoveryConfig is what a client of discovery is built from.
type DiscoveryConfig struct {
	Addr  string
	Names Names
	// MaxPollInterval bounds how long a watch waits; 0 = it does not.
	MaxPollInterval time.Duration
	// PollSpread is left, on average, between news and the next question. A change is told to all senders at one instant, and
	// where these are many, their next questions would come together and keep discovery from all else.
	PollSpread time.Duration
	// DrainGrace is the time within which a drain that was told must be heeded; 0 = not told by the settings.
	DrainGrace time.Duration
	Log        *slog.Logger
}

// Discovery asks for the target group, on one goroutine.
type Discovery struct {
	DiscoveryConfig
	events   EventPoster
	longPoll time.Duration // that a watch is asked to wait
	requests chan pollRequest

	mu         sync.Mutex
	addr       string
	cancelPoll context.CancelFunc // ends the question under way
}

// A pollRequest is what the controller asks for, and how asking for it went so far.
type pollRequest struct {
	watch, fetch   bool
	since          int64
	immediate      bool      // the watch before fell silent or broke off: what it missed is asked for, without a wait
	retries        int       // asks since the list became uncertain that failed
	uncertainSince time.Time // since when there may be more that was told; zero: nothing is
}

// fullList tells that the whole list is asked for, not what has changed.
func (w pollRequest) fullList() bool { return w.fetch || w.since == state.NoVersion }

// resumesAfterPause tells whether this is the watch after a rest: once it is open the list is known.
func (w pollRequest) resumesAfterPause() bool {
	return !w.uncertainSince.IsZero() && !w.immediate && !w.fullList()
}

// stop ends the asking: when to ask again is the controller's to say.
func (w *pollRequest) stop() {
	*w = pollRequest{since: w.since}
}

// advance goes on from an answer that was whole.
func (w *pollRequest) advance(version int64) {
	*w = pollRequest{watch: w.watch, since: version}
}

// NewDiscovery returns a client of discovery.
func NewDiscovery(post EventPoster, s DiscoveryConfig) *Discovery {
	wait := maxLongPoll
	if s.MaxPollInterval > 0 {
		wait = min(wait, s.MaxPollInterval)
	}
	return &Discovery{DiscoveryConfig: s, events: post, addr: s.Addr, longPoll: wait, requests: make(chan pollRequest, 16)}
}

// Watch begins or ends a watch on what is newer than a version.
func (d *Discovery) Watch(on bool, since int64) { d.request(pollRequest{watch: on, since: since}) }

// Fetch asks for the whole list once.
func (d *Discovery) Fetch() { d.request(pollRequest{fetch: true}) }

func (d *Discovery) request(w pollRequest) {
	select {
	case d.requests <- w:
	default:
		d.Log.Warn("discovery: too many asks at once, one left out")
	}
}

// SetAddress turns to another address, where the whole list is asked for first, again and again if need be: what it has to tell
// counts as told 4 s later. What is under way at the old one is called off, as it may stay silent for good.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	d.addr = addr
	if d.cancelPoll != nil {
		d.cancelPoll()
	}
	d.mu.Unlock()
	d.requests <- pollRequest{watch: true, since: state.NoVersion, uncertainSince: time.Now()}
}

// beginPoll returns where to ask, and a context that a move ends.
func (d *Discovery) beginPoll(ctx context.Context) (context.Context, context.CancelFunc, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.cancelPoll = context.WithCancel(ctx)
	return ctx, d.cancelPoll, d.addr
}

// Run asks as it is told until the context ends. A watch goes on with the next
// call right after each answer, until one fails: when to ask then is the
// controller's to say.
func (d *Discovery) Run(ctx context.Context) {
	link := &httpClient{pacing: readPacing{maxGap: maxAnswerGap, maxDuration: d.maxAnswerTime()}}
	defer link.close()
	var now pollRequest
	for d.nextPoll(ctx, &now) {
		asking, end, addr := d.beginPoll(ctx)
		link.setAddress(addr)
		asked := time.Now()
		opened := d.reportPollOpen(now)
		news, err := d.poll(asking, link, now)
		opened.Stop()
		switch {
		case asking.Err() != nil: // moved, also where an answer came in that instant
			now.watch, now.fetch = false, false // what to ask at the new address is among the wants
		case err != nil:
			if now.resumesAfterPause() && time.Since(asked) > pollTimeout {
				now.uncertainSince = time.Time{} // it was received, and ended later
			}
			d.handleFailure(asking, &now, err)
		case !now.fullList() && news.Version < now.since:
			d.Log.Warn("discovery: an older list than the one known, asked for whole", "known", now.since, "told", news.Version)
			now.advance(state.NoVersion)
			sleepUntil(asking, asked.Add(minPollInterval))
		default:
			d.handleUpdate(asking, &now, news, asked)
		}
		end()
	}
}

// reportPollOpen tells that the list is known once a watch after a rest has been open for a while. What was told before the watch
// would have come by then.
func (d *Discovery) reportPollOpen(now pollRequest) *time.Timer {
	if !now.resumesAfterPause() {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(pollOpenDelay, func() { d.events.Post(state.PollOpen{}) })
}

// maxAnswerTime is how long an answer may take from its first byte on. Where that is longer than usual the list counts as
// uncertain before the grace of drains is over.
func (d *Discovery) maxAnswerTime() time.Duration {
	if d.DrainGrace <= 0 {
		return pollTimeout
	}
	return min(pollTimeout, d.DrainGrace/2)
}

// handleUpdate passes an answer on, and rests before the next question where that is called for.
func (d *Discovery) handleUpdate(ctx context.Context, now *pollRequest, news state.ListUpdate, asked time.Time) {
	if now.retries > 0 {
		d.Log.Info("discovery: the list is known again", "asks", now.retries, "version", news.Version)
	}
	if len(news.Targets) > 0 {
		d.Log.Info("discovery told changes", "version", news.Version, "since", now.since, "targets", len(news.Targets), "asked", time.Since(asked).Round(time.Millisecond))
	}
	now.advance(news.Version)
	rests := d.PollSpread > 0 && len(news.Targets) > 0
	if rests && d.DrainGrace > 0 {
		now.uncertainSince = time.Now()
		news.PollPaused = true
	}
	d.events.Post(news)
	if rests {
		sleepUntil(ctx, time.Now().Add(d.pauseAfterUpdate()))
	} else if len(news.Targets) == 0 && time.Since(asked) < minPollInterval {
		// A watch that does not wait must not become a storm of questions.
		sleepUntil(ctx, time.Now().Add(minPollInterval))
	}
}

// pauseAfterUpdate is how long a large fleet's sender waits between news and its next question.
func (d *Discovery) pauseAfterUpdate() time.Duration {
	if d.DrainGrace <= 0 {
		return d.PollSpread*9/10 + rand.N(d.PollSpread/5)
	}
	return rand.N(min(d.PollSpread, time.Duration(maxPauseFraction*float64(d.DrainGrace))))
}

// handleFailure deals with a question that got no answer that can be used: it is asked again here, or is over.
func (d *Discovery) handleFailure(ctx context.Context, now *pollRequest, err error) {
	var unread *brokenAnswerError
	switch {
	case errors.As(err, &unread):
		d.Log.Warn("discovery: an answer broke off and is asked for again", "err", err, "bytes", len(unread.body), "asks", now.retries)
		d.events.Post(state.ListUnreadable{At: unread.startedAt, Leaving: parseDraining(unread.body, d.Names)})
		now.uncertainSince = unread.startedAt
		d.retryAfterBackoff(ctx, now, err)
	case !now.uncertainSince.IsZero() && time.Since(now.uncertainSince) < state.UncertaintyTimeout(d.MaxPollInterval):
		d.Log.Info("discovery: no answer while the list is uncertain, asked again", "err", err, "asks", now.retries)
		if !now.fullList() {
			d.events.Post(state.PollFailed{Since: now.uncertainSince})
		}
		d.retryAfterBackoff(ctx, now, err)
	case now.watch && !now.immediate && (errors.Is(err, errNoAnswer) || errors.Is(err, errConnectionEnded) && d.PollSpread == 0):
		d.Log.Info("discovery: the watch fell silent or ended and is opened anew", "err", err)
		now.immediate = true
	default:
		d.Log.Info("discovery failed", "err", err, "since", now.since, "missed", now.immediate)
		now.stop()
		d.events.Post(state.ListUpdate{Kind: control.ListFailed})
	}
}

// retryAfterBackoff has the next question be one without a wait, after a pause that doubles. A large fleet's sender takes its time, as
// discovery works questions off in turn, unless this one did not leave the machine.
func (d *Discovery) retryAfterBackoff(ctx context.Context, now *pollRequest, err error) {
	first, most := minRetryBackoff, maxRetryBackoff
	var unread *brokenAnswerError
	switch {
	case d.PollSpread == 0 || isLocalError(err):
	case errors.As(err, &unread) || now.fullList():
		first, most = max(first, time.Duration(fleetBackoffFraction*float64(d.DrainGrace))), maxFleetBackoff
	default: // it may be behind with the questions of all
		first, most = max(first, d.PollSpread/refusedBackoffDivisor), maxFleetBackoff
	}
	wait := min(first<<min(now.retries, 10), most)
	now.immediate = true
	now.retries++
	sleepUntil(ctx, time.Now().Add(wait/2+rand.N(wait/2)))
}

// nextPoll says what to ask now: what is wanted anew, else the watch goes on. It
// waits while nothing is wanted, and tells false at the end.
func (d *Discovery) nextPoll(ctx context.Context, now *pollRequest) bool {
	for ctx.Err() == nil {
		if now.watch || now.fetch {
			select {
			case w := <-d.requests:
				now.merge(w)
			default:
				return true
			}
			continue
		}
		select {
		case <-ctx.Done():
		case w := <-d.requests:
			now.merge(w)
		}
	}
	return false
}

// merge adds what is wanted; a single list leaves a watch as it is.
func (w *pollRequest) merge(v pollRequest) {
	if v.fetch {
		w.fetch = true
		return
	}
	*w = pollRequest{watch: v.watch, since: v.since, fetch: w.fetch, uncertainSince: v.uncertainSince}
}

// sleepUntil waits until a time or the end of the context.
func sleepUntil(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	<-ctx.Done()
}

// errConnectionEnded tells of a watch whose connection ended before anything of an answer came.
var errConnectionEnded = errors.New("the connection ended without an answer")

// poll asks once. A first watch without a version is the whole list. Its error is an unreadError where an answer began,
// errSilent where none did in time, and errEnded where a connection that was up ended instead.
func (d *Discovery) poll(ctx context.Context, link *httpClient, w pollRequest) (state.ListUpdate, error) {
	path, limit := listPath, time.Now().Add(pollTimeout)
	if !w.fullList() {
		wait := d.longPoll
		if w.immediate {
			wait = time.Millisecond
		}
		path += "?since=" + strconv.FormatInt(w.since, 10) + "&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		limit = limit.Add(wait)
	}
	said, err := link.do(ctx, http.MethodGet, path, nil, limit)
	switch {
	case err == nil && said.status != http.StatusOK:
		return state.ListUpdate{}, fmt.Errorf("status %d", said.status)
	case err == nil:
		news, err := ParseList(said.body, d.Names)
		if err != nil {
			return state.ListUpdate{}, &brokenAnswerError{said.startedAt, said.body, err}
		}
		return news, nil
	case !said.startedAt.IsZero() && !(!w.fullList() && isUnchanged(said.body, w.since)):
		return state.ListUpdate{}, &brokenAnswerError{said.startedAt, said.body, err}
	case !time.Now().Before(limit) || !said.startedAt.IsZero():
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errNoAnswer, err)
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errConnectionEnded, err)
	}
	return state.ListUpdate{}, err
}

// ParseList reads discovery's list, or its changes.
func ParseList(body []byte, n Names) (state.ListUpdate, error) {
	if !gjson.ValidBytes(body) {
		return state.ListUpdate{}, fmt.Errorf("list: not JSON")
	}
	list := gjson.ParseBytes(body)
	if !list.Get("servers").IsArray() || list.Get("version").Type != gjson.Number {
		return state.ListUpdate{}, fmt.Errorf("list: no servers or no version")
	}
	news := state.ListUpdate{Kind: control.ListDelta, Version: list.Get("version").Int()}
	if list.Get("full").Bool() {
		news.Kind = control.ListFull
	}
	for _, s := range list.Get("servers").Array() {
		t := parseTarget(s, n)
		if t.ID == "" {
			return state.ListUpdate{}, fmt.Errorf("list: an entry without id")
		}
		news.Targets = append(news.Targets, t)
	}
	return news, nil
}

// parseTarget reads one entry of a list.
func parseTarget(s gjson.Result, n Names) state.Target {
	t := state.Target{ID: s.Get("id").String(), Addr: s.Get("addr").String()}
	t.Destination = int(s.Get("cell").Int())
	t.Kind, t.Zone = numberOf(n.Kinds, s.Get("kind")), numberOf(n.Zones, s.Get("zone"))
	t.Weight = s.Get("weight").Float()
	switch s.Get("state").String() {
	case "up":
		t.State = control.Ready
	case "draining":
		t.State = control.Draining
	case "removed":
		t.State = control.Removed
	default:
		t.State = control.Draining // a state not known here: nothing new goes there
	}
	return t
}

// parseDraining reads the targets that drain or are gone off the part of a list that came. Entries that are not whole are
// left out.
func parseDraining(part []byte, n Names) (leaving []state.Target) {
	gjson.GetBytes(part, "servers").ForEach(func(_, entry gjson.Result) bool {
		if !gjson.Valid(entry.Raw) || !entry.IsObject() {
			return false
		}
		if t := parseTarget(entry, n); t.ID != "" && t.State != control.Ready {
			leaving = append(leaving, t)
		}
		return true
	})
	return leaving
}

// isUnchanged tells whether the part of a list that came names the version that is known already, whole.
func isUnchanged(part []byte, known int64) bool {
	version := gjson.GetBytes(part, "version")
	whole := version.Index+len(version.Raw) < len(part) // more digits could follow
	return version.Type == gjson.Number && whole && version.Int() == known
}

// numberOf is the number of a name; one that the settings don't know has none.
func numberOf(names map[string]int, v gjson.Result) int {
	if i, known := names[v.String()]; known {
		return i
	}
	return -1
}
