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
	// listSpan is how long an answer may take, and how much longer than it should wait a watch may.
	listSpan = 1200 * time.Millisecond
	// watchMost is the longest that a watch is asked to wait. One that has fallen silent is noticed that much and
	// listSpan later, and asked anew within another listSpan: under the 6 s after which what it missed counts as told.
	watchMost = 3 * time.Second
	// quickAnswer is too soon for an answer without news. Less than the time
	// in which the next call still continues a watch.
	quickAnswer = 100 * time.Millisecond
	// answerGap is the longest pause within an answer. What discovery has begun to write counts as told, so that one
	// which breaks off is asked for again long before the grace of drains is over.
	answerGap = 300 * time.Millisecond
	// retryFirst is waited before an answer that broke off is asked for again; doubled up to retryMost.
	retryFirst = 20 * time.Millisecond
	retryMost  = 640 * time.Millisecond
	// retryFleet of the grace of drains takes the place of retryFirst in a large fleet, and retryFleetMost that of retryMost:
	// what was told to all of it at one instant may have broken off for all.
	retryFleet     = 0.3
	retryFleetMost = 2400 * time.Millisecond
	// retryBehind parts of the time over which a fleet spreads its questions make the first pause after one that was refused.
	retryBehind = 4
	// restPart of the grace of drains is the most that a large fleet's sender rests after news. A watch goes on for 200 ms
	// after an answer, in which changes count as told: they must be known before the grace is over.
	restPart = 0.4
	// openSpan is how long a watch has been open when it counts as received: discovery answers 503 where one waited too long.
	// A rest and this are over before sends would be held back.
	openSpan = 900 * time.Millisecond
)

// errSilent tells of a question whose answer did not come in its time.
var errSilent = errors.New("no whole answer in time")

// An unreadError tells of an answer that began and can't be read, or not to its end. What it told is not known.
type unreadError struct {
	began time.Time // when its first byte was there
	body  []byte    // as far as it came
	cause error
}

func (e *unreadError) Error() string { return "the answer broke off: " + e.cause.Error() }

func (e *unreadError) Unwrap() error { return e.cause }

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
	post  EventPoster
	wait  time.Duration // that a watch is asked to wait
	wants chan want

	mu      sync.Mutex
	addr    string
	callOff context.CancelFunc // ends the question under way
}

// A want is what the controller asks for, and how asking for it went so far.
type want struct {
	watch, fetch bool
	since        int64
	missed       bool      // the watch before fell silent or broke off: what it missed is asked for, without a wait
	retries      int       // asks since the list became uncertain that failed
	uncertain    time.Time // since when there may be more that was told; zero: nothing is
}

// whole tells that the whole list is asked for, not what has changed.
func (w want) whole() bool { return w.fetch || w.since == state.NoVersion }

// settles tells whether this is the watch after a rest: once it is open the list is known.
func (w want) settles() bool { return !w.uncertain.IsZero() && !w.missed && !w.whole() }

// failed ends the asking: when to ask again is the controller's to say.
func (w *want) failed() {
	*w = want{since: w.since}
}

// answered goes on from an answer that was whole.
func (w *want) answered(version int64) {
	*w = want{watch: w.watch, since: version}
}

// NewDiscovery returns a client of discovery.
func NewDiscovery(post EventPoster, s DiscoveryConfig) *Discovery {
	wait := watchMost
	if s.MaxPollInterval > 0 {
		wait = min(wait, s.MaxPollInterval)
	}
	return &Discovery{DiscoveryConfig: s, post: post, addr: s.Addr, wait: wait, wants: make(chan want, 16)}
}

// Watch begins or ends a watch on what is newer than a version.
func (d *Discovery) Watch(on bool, since int64) { d.want(want{watch: on, since: since}) }

// Fetch asks for the whole list once.
func (d *Discovery) Fetch() { d.want(want{fetch: true}) }

func (d *Discovery) want(w want) {
	select {
	case d.wants <- w:
	default:
		d.Log.Warn("discovery: too many asks at once, one left out")
	}
}

// SetAddress turns to another address, where the whole list is asked for first, again and again if need be: what it has to tell
// counts as told 4 s later. What is under way at the old one is called off, as it may stay silent for good.
func (d *Discovery) SetAddress(addr string) {
	d.mu.Lock()
	d.addr = addr
	if d.callOff != nil {
		d.callOff()
	}
	d.mu.Unlock()
	d.wants <- want{watch: true, since: state.NoVersion, uncertain: time.Now()}
}

// begin returns where to ask, and a context that a move ends.
func (d *Discovery) begin(ctx context.Context) (context.Context, context.CancelFunc, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ctx, d.callOff = context.WithCancel(ctx)
	return ctx, d.callOff, d.addr
}

// Run asks as it is told until the context ends. A watch goes on with the next
// call right after each answer, until one fails: when to ask then is the
// controller's to say.
func (d *Discovery) Run(ctx context.Context) {
	link := &dialog{steady: steadiness{gap: answerGap, most: d.answerMost()}}
	defer link.hangUp()
	var now want
	for d.next(ctx, &now) {
		asking, end, addr := d.begin(ctx)
		link.turn(addr)
		asked := time.Now()
		opened := d.settle(now)
		news, err := d.get(asking, link, now)
		opened.Stop()
		switch {
		case asking.Err() != nil: // moved, also where an answer came in that instant
			now.watch, now.fetch = false, false // what to ask at the new address is among the wants
		case err != nil:
			if now.settles() && time.Since(asked) > listSpan {
				now.uncertain = time.Time{} // it was received, and ended later
			}
			d.missed(asking, &now, err)
		case !now.whole() && news.Version < now.since:
			d.Log.Warn("discovery: an older list than the one known, asked for whole", "known", now.since, "told", news.Version)
			now.answered(state.NoVersion)
			pause(asking, asked.Add(quickAnswer))
		default:
			d.told(asking, &now, news, asked)
		}
		end()
	}
}

// settle tells that the list is known once a watch after a rest has been open for a while. What was told before the watch
// would have come by then.
func (d *Discovery) settle(now want) *time.Timer {
	if !now.settles() {
		return time.NewTimer(time.Hour)
	}
	return time.AfterFunc(openSpan, func() { d.post.Post(state.PollOpen{}) })
}

// answerMost is how long an answer may take from its first byte on. Where that is longer than usual the list counts as
// uncertain before the grace of drains is over.
func (d *Discovery) answerMost() time.Duration {
	if d.DrainGrace <= 0 {
		return listSpan
	}
	return min(listSpan, d.DrainGrace/2)
}

// told passes an answer on, and rests before the next question where that is called for.
func (d *Discovery) told(ctx context.Context, now *want, news state.ListUpdate, asked time.Time) {
	if now.retries > 0 {
		d.Log.Info("discovery: the list is known again", "asks", now.retries, "version", news.Version)
	}
	if len(news.Targets) > 0 {
		d.Log.Info("discovery told changes", "version", news.Version, "since", now.since, "targets", len(news.Targets), "asked", time.Since(asked).Round(time.Millisecond))
	}
	now.answered(news.Version)
	rests := d.PollSpread > 0 && len(news.Targets) > 0
	if rests && d.DrainGrace > 0 {
		now.uncertain = time.Now()
		news.PollPaused = true
	}
	d.post.Post(news)
	if rests {
		pause(ctx, time.Now().Add(d.restAfterNews()))
	} else if len(news.Targets) == 0 && time.Since(asked) < quickAnswer {
		// A watch that does not wait must not become a storm of questions.
		pause(ctx, time.Now().Add(quickAnswer))
	}
}

// restAfterNews is how long a large fleet's sender waits between news and its next question.
func (d *Discovery) restAfterNews() time.Duration {
	if d.DrainGrace <= 0 {
		return d.PollSpread*9/10 + rand.N(d.PollSpread/5)
	}
	return rand.N(min(d.PollSpread, time.Duration(restPart*float64(d.DrainGrace))))
}

// missed deals with a question that got no answer that can be used: it is asked again here, or is over.
func (d *Discovery) missed(ctx context.Context, now *want, err error) {
	var unread *unreadError
	switch {
	case errors.As(err, &unread):
		d.Log.Warn("discovery: an answer broke off and is asked for again", "err", err, "bytes", len(unread.body), "asks", now.retries)
		d.post.Post(state.ListUnreadable{At: unread.began, Leaving: leavingOf(unread.body, d.Names)})
		now.uncertain = unread.began
		d.retry(ctx, now, err)
	case !now.uncertain.IsZero() && time.Since(now.uncertain) < state.UncertaintyTimeout(d.MaxPollInterval):
		d.Log.Info("discovery: no answer while the list is uncertain, asked again", "err", err, "asks", now.retries)
		if !now.whole() {
			d.post.Post(state.PollFailed{Since: now.uncertain})
		}
		d.retry(ctx, now, err)
	case now.watch && !now.missed && (errors.Is(err, errSilent) || errors.Is(err, errEnded) && d.PollSpread == 0):
		d.Log.Info("discovery: the watch fell silent or ended and is opened anew", "err", err)
		now.missed = true
	default:
		d.Log.Info("discovery failed", "err", err, "since", now.since, "missed", now.missed)
		now.failed()
		d.post.Post(state.ListUpdate{Kind: control.ListFailed})
	}
}

// retry has the next question be one without a wait, after a pause that doubles. A large fleet's sender takes its time, as
// discovery works questions off in turn, unless this one did not leave the machine.
func (d *Discovery) retry(ctx context.Context, now *want, err error) {
	first, most := retryFirst, retryMost
	var unread *unreadError
	switch {
	case d.PollSpread == 0 || localFailure(err):
	case errors.As(err, &unread) || now.whole():
		first, most = max(first, time.Duration(retryFleet*float64(d.DrainGrace))), retryFleetMost
	default: // it may be behind with the questions of all
		first, most = max(first, d.PollSpread/retryBehind), retryFleetMost
	}
	wait := min(first<<min(now.retries, 10), most)
	now.missed = true
	now.retries++
	pause(ctx, time.Now().Add(wait/2+rand.N(wait/2)))
}

// next says what to ask now: what is wanted anew, else the watch goes on. It
// waits while nothing is wanted, and tells false at the end.
func (d *Discovery) next(ctx context.Context, now *want) bool {
	for ctx.Err() == nil {
		if now.watch || now.fetch {
			select {
			case w := <-d.wants:
				now.take(w)
			default:
				return true
			}
			continue
		}
		select {
		case <-ctx.Done():
		case w := <-d.wants:
			now.take(w)
		}
	}
	return false
}

// take adds what is wanted; a single list leaves a watch as it is.
func (w *want) take(v want) {
	if v.fetch {
		w.fetch = true
		return
	}
	*w = want{watch: v.watch, since: v.since, fetch: w.fetch, uncertain: v.uncertain}
}

// pause waits until a time or the end of the context.
func pause(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	<-ctx.Done()
}

// errEnded tells of a watch whose connection ended before anything of an answer came.
var errEnded = errors.New("the connection ended without an answer")

// get asks once. A first watch without a version is the whole list. Its error is an unreadError where an answer began,
// errSilent where none did in time, and errEnded where a connection that was up ended instead.
func (d *Discovery) get(ctx context.Context, link *dialog, w want) (state.ListUpdate, error) {
	path, limit := listPath, time.Now().Add(listSpan)
	if !w.whole() {
		wait := d.wait
		if w.missed {
			wait = time.Millisecond
		}
		path += "?since=" + strconv.FormatInt(w.since, 10) + "&timeout_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
		limit = limit.Add(wait)
	}
	said, err := link.ask(ctx, http.MethodGet, path, nil, limit)
	switch {
	case err == nil && said.status != http.StatusOK:
		return state.ListUpdate{}, fmt.Errorf("status %d", said.status)
	case err == nil:
		news, err := ParseList(said.body, d.Names)
		if err != nil {
			return state.ListUpdate{}, &unreadError{said.began, said.body, err}
		}
		return news, nil
	case !said.began.IsZero() && !(!w.whole() && tellsNothing(said.body, w.since)):
		return state.ListUpdate{}, &unreadError{said.began, said.body, err}
	case !time.Now().Before(limit) || !said.began.IsZero():
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errSilent, err)
	case errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return state.ListUpdate{}, fmt.Errorf("%w: %w", errEnded, err)
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
		t := targetOf(s, n)
		if t.ID == "" {
			return state.ListUpdate{}, fmt.Errorf("list: an entry without id")
		}
		news.Targets = append(news.Targets, t)
	}
	return news, nil
}

// targetOf reads one entry of a list.
func targetOf(s gjson.Result, n Names) state.Target {
	t := state.Target{ID: s.Get("id").String(), Addr: s.Get("addr").String()}
	t.Destination = int(s.Get("cell").Int())
	t.Kind, t.Zone = index(n.Kinds, s.Get("kind")), index(n.Zones, s.Get("zone"))
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

// leavingOf reads the targets that drain or are gone off the part of a list that came. Entries that are not whole are
// left out.
func leavingOf(part []byte, n Names) (leaving []state.Target) {
	gjson.GetBytes(part, "servers").ForEach(func(_, entry gjson.Result) bool {
		if !gjson.Valid(entry.Raw) || !entry.IsObject() {
			return false
		}
		if t := targetOf(entry, n); t.ID != "" && t.State != control.Ready {
			leaving = append(leaving, t)
		}
		return true
	})
	return leaving
}

// tellsNothing tells whether the part of a list that came names the version that is known already, whole.
func tellsNothing(part []byte, known int64) bool {
	version := gjson.GetBytes(part, "version")
	whole := version.Index+len(version.Raw) < len(part) // more digits could follow
	return version.Type == gjson.Number && whole && version.Int() == known
}

// index is the number of a name; one that the settings don't know has none.
func index(names map[string]int, v gjson.Result) int {
	if i, known := names[v.String()]; known {
		return i
	}
	return -1
}
