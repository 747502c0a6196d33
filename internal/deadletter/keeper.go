package deadletter

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cleathold/control"
	"cleathold/internal/redelivery"
	"cleathold/internal/settings"
	"cleathold/internal/state"
)

const (
	batchMost  = 256                    // items in one transaction
	dueMost    = 64                     // records whose time has come, in one: each may cost a call of a rule
	sweepMost  = 256                    // records looked at for new rules, in one
	quietSpan  = 10 * time.Second       // the bounds are looked after this often, where nothing happens
	retryFirst = 100 * time.Millisecond // after a failure of the store, doubled up to...
	retryMost  = 10 * time.Second       // ...this
	slackBack  = 2 * time.Second        // a clock may differ by so much from the latest time in the store
	ordersMost = 16                     // orders of the admin plane that wait
	claimsMost = 4096                   // keys handed in before the store could be asked
	owedPause  = time.Second            // until a record is looked at again whose end the platform has not heard of
	sayAgain   = time.Minute            // the same failure of a rule is logged once in this time
)

// Names are the words for what the loop numbers.
type Names struct{ Classes, Tenants []string }

func word(list []string, i int) string {
	if i < 0 || i >= len(list) {
		return ""
	}
	return list[i]
}

// EventPoster takes events; the loop is one.
type EventPoster interface{ Post(event state.Event) }

// A vocabulary is what a platform's settings say. Nothing in it changes.
type vocabulary struct {
	Names
	numbers map[string]int // which number a class's name has now
	terms   Terms
	plat    control.Settings
}

// number is that of a class by its name; one that the settings have no more keeps the last that it had.
func (v *vocabulary) number(class string) int {
	if n, is := v.numbers[class]; is {
		return n
	}
	for n, name := range slices.Backward(v.Classes) {
		if name == class {
			return n
		}
	}
	return 0
}

// Config is what a keeper is built from.
type Config struct {
	Settings *settings.Settings // with a Held part
	Platform control.Settings
	Names    Names
	Log      *slog.Logger
}

// The items of the queue, besides partings.
type (
	beginning struct {
		owed []string
		out  []uint64
	}
	settled struct{ ids []string }
)

// An order is a change that somebody outside the queue waits for.
type order struct {
	run  func(*Tx) error
	done chan error
}

// Queue is the sender's keeper of undeliverable messages. One goroutine, Run,
// writes the store; what others tell it waits in a bounded queue, and until the
// store has it, in the journal.
type Queue struct {
	log    *slog.Logger
	words  atomic.Pointer[vocabulary] // as of the latest settings
	post   EventPoster
	more   chan struct{}
	orders chan order

	mu      sync.Mutex
	set     *settings.Settings
	queue   []any
	parts   int // partings in the queue, new ones only
	failing bool
	store   *Store // nil until it is open
	planner *redelivery.Planner
	load    redelivery.Load
	claims  map[[2]string]bool // keys handed in while there was no store
	blind   time.Time          // until then keys may have been handed in unseen
	said    map[string]time.Time

	// The writer's alone.
	clock   clock
	granted map[uint64]int // records out by this process, and their destinations
	sweep   uint64         // the rules have changed: held records up to here were asked
	sweeps  bool
	began   bool // the journal has told what it owes
	tidied  time.Time
}

// A clock is one that never goes back while the process runs, whatever the
// machine's does.
type clock struct {
	base  time.Time // at the start, by the machine's clock
	start time.Time // the same, with the monotonic reading
	back  bool      // at the start the machine's clock stood before the latest time in the store
}

func newClock() clock {
	now := time.Now()
	return clock{base: now.Round(0), start: now}
}

func (c *clock) now() time.Time { return c.base.Add(time.Since(c.start)) }

// adopt takes the latest time that a store has seen, in whole microseconds. Where the machine's clock went back this
// process's times begin there: none of them is one of before, however long the store took to open.
func (c *clock) adopt(latest time.Time) {
	if latest.After(c.now().Add(slackBack)) {
		c.base, c.back = latest.Add(time.Microsecond), true
	}
}

// sure tells whether the time since another can be told.
func (c *clock) sure(at time.Time) bool { return !c.back || !at.Before(c.base) }

// NewQueue returns a keeper; Run opens its store.
func NewQueue(s Config) *Queue {
	k := &Queue{
		log: s.Log, set: s.Settings, clock: newClock(),
		more: make(chan struct{}, 1), orders: make(chan order, ordersMost),
		claims: map[[2]string]bool{}, said: map[string]time.Time{}, granted: map[uint64]int{},
	}
	now := map[string]int{}
	for i, name := range s.Names.Classes {
		now[name] = i
	}
	k.words.Store(&vocabulary{Names: Names{Tenants: s.Names.Tenants}})
	k.speak(s.Names.Classes, now, s.Platform)
	k.planner = redelivery.New(k.limits(), s.Platform.Seed)
	return k
}

// ClassesChanged takes what the settings call classes, and what they say.
func (k *Queue) ClassesChanged(names []string, now map[string]int, set control.Settings) {
	k.speak(names, now, set)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.SetLimits(k.limits())
}

// TenantsChanged takes the names of tenants, by number. Those that were numbered before keep their numbers.
func (k *Queue) TenantsChanged(names []string) {
	for {
		old := k.words.Load()
		v := *old
		v.Tenants = names
		if k.words.CompareAndSwap(old, &v) { // the loop may tell of classes meanwhile
			return
		}
	}
}

func (k *Queue) speak(names []string, now map[string]int, set control.Settings) {
	old := k.words.Load()
	v := &vocabulary{
		Names: Names{Classes: names, Tenants: old.Tenants}, numbers: now, plat: set,
		terms: Terms{Classes: map[string]control.Class{}, SendCap: set.MaxAttempts},
	}
	for i, name := range names {
		if n, is := now[name]; is {
			i = n
		}
		if i < len(set.Classes) { // one of before keeps its terms for the records that it has
			v.terms.Classes[name] = set.Classes[i]
		}
	}
	if !k.words.CompareAndSwap(old, v) { // tenants came in between
		k.speak(names, now, set)
	}
}

func (k *Queue) limits() redelivery.Limits {
	plat := &k.words.Load().plat
	return redelivery.Limits{
		FleetSize: plat.FleetSize, ColdCapacity: plat.ColdCapacity, WarmUp: plat.WarmUp, OverloadFactor: plat.OverloadFactor,
		OverloadWindow: plat.OverloadWindow, CapacityShare: k.set.Resend.Share, MaxInFlight: k.set.Resend.MaxOut,
	}
}

// Connect names the loop; before Run.
func (k *Queue) Connect(p EventPoster) { k.post = p }

// UpdateSettings takes other settings: bounds, pace and rules. The folder stays.
func (k *Queue) UpdateSettings(s *settings.Settings) {
	k.mu.Lock()
	k.set = s
	k.planner.SetLimits(k.limits())
	k.mu.Unlock()
	select {
	case k.orders <- order{run: func(*Tx) error { k.sweep, k.sweeps = 0, s.Rules(); return nil }, done: make(chan error, 1)}:
	default: // with that many orders waiting, the records are asked as their times come
		k.log.Warn("held: too many orders wait, the new rules ask held records later")
	}
}

// wake has the writer look at its queue.
func (k *Queue) wake() {
	select {
	case k.more <- struct{}{}:
	default:
	}
}

func (k *Queue) push(items ...any) {
	k.mu.Lock()
	k.queue = append(k.queue, items...)
	for _, x := range items {
		if p, ok := x.(state.DeadLetter); ok && p.Seq == 0 {
			k.parts++
		}
	}
	k.mu.Unlock()
	k.wake()
}

// What the loop calls. None of it waits for the store.

// Begin takes what the journal knows.
func (k *Queue) Begin(owed []string, out []uint64) { k.push(beginning{owed, out}) }

// Add takes a parting.
func (k *Queue) Add(p state.DeadLetter) { k.push(p) }

// Forget takes ids that the journal has forgotten.
func (k *Queue) Forget(ids []string) { k.push(settled{ids}) }

// CallEnded takes what came of a call.
func (k *Queue) CallEnded(dest int, r control.Result, wait time.Duration, again bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.planner.CallEnded(k.since(), dest, told(r), wait, again)
}

// told is what a call's result tells of its partner.
func told(r control.Result) redelivery.Result {
	switch r {
	case control.Served, control.Unprocessable: // the partner was there
		return redelivery.Served
	case control.Rejected, control.ConnectionRejected:
		return redelivery.Rejected
	case control.NotSent:
		return redelivery.NotSent
	}
	return redelivery.Failed
}

// CapacityChanged takes what is known of the destinations.
func (k *Queue) CapacityChanged(all map[int]state.DestinationCapacity) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for dest, x := range all {
		k.planner.CapacityChanged(k.since(), dest, x.Weight, x.Ready > 0)
	}
}

// LoadChanged takes how busy the loop is.
func (k *Queue) LoadChanged(l state.LoopLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load = redelivery.Load(l)
}

// since is the planner's clock.
func (k *Queue) since() time.Duration { return time.Since(k.clock.start) }

// Accepts asks the rule hold. Where the store fails, or its queue is full, nothing
// is held: the message ends as it would without a store.
func (k *Queue) Accepts(p *state.DeadLetter) bool {
	k.mu.Lock()
	full := k.failing || k.parts >= k.set.Held.Queue
	set, words := k.set, k.words.Load()
	partner := k.partner(p.Message.Destination)
	k.mu.Unlock()
	if full {
		k.say("held: not held, as the store fails or its queue is full")
		return false
	}
	ran := false
	for _, t := range p.Attempts {
		ran = ran || t.Open || t.Result.MayHaveRun()
	}
	hold, err := set.Hold(settings.Record{
		ID: p.Message.ID, Key: p.Message.Key, Class: word(words.Classes, p.Message.Class), Tenant: word(words.Tenants, p.Message.Tenant),
		Destination: p.Message.Destination, Size: len(p.Message.Body), Reason: p.Reason, MayHaveRun: ran, Deferred: p.Deferred,
		Attempts: p.AttemptCount, TimeLeft: max(0, p.Message.Deadline.Sub(p.At)),
	}, partner)
	if err != nil {
		k.say("held: the rule hold failed", "err", err.Error())
	}
	return hold
}

// partner is a destination as rules see it; under the mutex.
func (k *Queue) partner(dest int) settings.Partner {
	v := k.planner.View(k.since(), dest)
	p := settings.Partner{InFlight: v.InFlight, Failing: v.Failing, Served: v.Served, RetryAfter: v.RetryAfter}
	if v.Known {
		p.Last = map[redelivery.Result]string{redelivery.Served: "served", redelivery.Rejected: "refused", redelivery.Failed: "failed"}[v.Last]
	}
	if k.store != nil {
		p.Held = k.store.Count(dest)
	}
	return p
}

// say logs the same thing once in a while.
func (k *Queue) say(text string, args ...any) {
	id := text
	for _, a := range args {
		if s, ok := a.(string); ok {
			id += s
		}
	}
	now := time.Now()
	k.mu.Lock()
	last, known := k.said[id]
	speak := !known || now.Sub(last) >= sayAgain
	if len(k.said) > 256 {
		clear(k.said)
	}
	if speak {
		k.said[id] = now
	}
	k.mu.Unlock()
	if speak {
		k.log.Warn(text, args...)
	}
}

// ClaimKey ends the held records of a key that a client hands in anew: from now on
// the message is its client's. It is called before the message is taken on, by
// the client's goroutine, and waits for the store only if a record may be held.
// Where one is being sent, or the store can't be asked, the answer is no: the
// client should come again.
func (k *Queue) ClaimKey(number int, key string, by time.Time) bool {
	class := word(k.words.Load().Classes, number)
	k.mu.Lock()
	s := k.store
	if s == nil { // not open yet: it is told before anything is sent from it
		if len(k.claims) < claimsMost {
			k.claims[[2]string{class, key}] = true
		} else {
			k.blind = time.Now()
		}
		k.mu.Unlock()
		return true
	}
	k.mu.Unlock()
	if !s.MayHold(class, key) && !k.isOut(s, class, key) {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	return k.order(ctx, func(t *Tx) error {
		if len(t.outKeys(class, key)) > 0 {
			return errOut
		}
		return k.supersede(t, class, key)
	}) == nil
}

var errOut = errors.New("held: a record of that key is being sent")

// isOut tells whether a record of that key is being sent.
func (k *Queue) isOut(s *Store, class, key string) (out bool) {
	err := s.View(func(t *Tx) error {
		out = len(t.outKeys(class, key)) > 0
		return nil
	})
	return out || err != nil
}

// outKeys lists the records of a key that are being sent; there are few of them.
func (t *Tx) outKeys(class, key string) (seqs []uint64) {
	list, _, err := t.List(Filter{State: Out}, 0, 4096)
	for _, r := range list {
		if r.Class == class && r.Key == key {
			seqs = append(seqs, r.Sequence)
		}
	}
	if err != nil {
		seqs = append(seqs, 1)
	}
	return seqs
}

func (k *Queue) supersede(t *Tx, class, key string) error {
	now := k.clock.now()
	for _, seq := range t.byKey(class, key) {
		err := t.change(seq, func(r *Record) error {
			r.did(now, "its client handed the key in anew", "sender")
			r.end(now, Superseded)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// order has the writer run a change, and waits for it.
func (k *Queue) order(ctx context.Context, run func(*Tx) error) error {
	o := order{run, make(chan error, 1)}
	select {
	case k.orders <- o:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-o.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run opens the store and writes it until the context ends. What has not been
// written then stays with the journal.
func (k *Queue) Run(ctx context.Context) {
	retry := retryFirst
	pause := func(err error) {
		k.fail(true)
		k.log.Error("held: the store can't be written; nothing is held until it can", "err", err, "retry_in", retry)
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		}
		retry = min(2*retry, retryMost)
	}
	var damage error
	for ctx.Err() == nil {
		k.mu.Lock()
		s, folder := k.store, k.set.Held.Folder
		k.mu.Unlock()
		if s == nil {
			var err error
			if s, err = reopen(folder, damage, k.log); err != nil {
				pause(err)
				continue
			}
			damage = nil
			k.opened(s)
		}
		next, err := k.round(s)
		if err == nil {
			err = k.rest(ctx, s, next)
			retry = retryFirst
		}
		switch {
		case errors.Is(err, ErrDamaged): // also seen by an order: bbolt may have left its lock taken
			damage = err
			k.mu.Lock()
			k.store = nil
			k.mu.Unlock()
			s.abandon()
			pause(err)
			continue
		case err != nil:
			pause(err)
			continue
		}
	}
	k.mu.Lock()
	s := k.store
	k.store = nil
	k.mu.Unlock()
	if s != nil {
		s.Close()
	}
	for { // whoever still waits is told
		select {
		case o := <-k.orders:
			o.done <- errors.New("held: the sender stops")
		default:
			return
		}
	}
}

// rest waits until there is something to do, and runs an order if one comes.
func (k *Queue) rest(ctx context.Context, s *Store, most time.Duration) error {
	k.fail(false)
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.more:
	case o := <-k.orders:
		if err := k.run(s, o); errors.Is(err, ErrDamaged) {
			return err
		}
	case <-timer.C:
	}
	return nil
}

func (k *Queue) fail(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failing = on
}

// opened takes a store over.
func (k *Queue) opened(s *Store) {
	s.View(func(t *Tx) error {
		if us := t.counter(metaLatest); us > 0 {
			k.clock.adopt(time.UnixMicro(int64(us)))
		}
		return nil
	})
	if k.clock.back {
		k.log.Warn("held: the clock went back while the sender was down; memory spans from before can't be judged")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store = s
	k.sweeps = k.set.Rules()
}

// run runs an order.
func (k *Queue) run(s *Store, o order) error {
	err := s.Update(func(t *Tx) error {
		if err := o.run(t); err != nil {
			return err
		}
		return k.stamp(t)
	})
	o.done <- err
	return err
}

// stamp keeps the latest time.
func (k *Queue) stamp(t *Tx) error {
	return t.Bucket(bucketMeta).Put([]byte(metaLatest), num(uint64(k.clock.now().UnixMicro())))
}

// round writes what is queued, looks after what is due and sends what may be
// sent. It returns how long nothing more is to be done.
func (k *Queue) round(s *Store) (time.Duration, error) {
	k.mu.Lock()
	items := k.queue[:min(len(k.queue), batchMost)]
	claims := maps.Clone(k.claims)
	k.mu.Unlock()
	var stored []control.MessageID
	var back []comeback
	if len(items)+len(claims) > 0 {
		err := s.Update(func(t *Tx) error {
			stored, back = stored[:0], back[:0]
			for _, x := range items {
				if err := k.enter(t, x, &stored, &back); err != nil {
					return err
				}
			}
			for c := range claims {
				if err := k.supersede(t, c[0], c[1]); err != nil {
					return err
				}
			}
			return k.stamp(t)
		})
		if err != nil {
			return 0, err
		}
		k.mu.Lock()
		k.queue = k.queue[len(items):]
		for _, x := range items {
			if p, ok := x.(state.DeadLetter); ok && p.Seq == 0 {
				k.parts--
			}
		}
		for c := range claims {
			delete(k.claims, c)
		}
		for _, b := range back {
			if dest, ours := k.granted[b.seq]; ours {
				delete(k.granted, b.seq)
				k.planner.RedeliveryEnded(k.since(), dest, b.letIn)
			}
		}
		rest := len(k.queue)
		k.mu.Unlock()
		if len(stored) > 0 {
			k.post.Post(state.DeadLettersStored{Nums: stored})
		}
		if rest > 0 {
			return 0, nil
		}
	}
	return k.look(s)
}

// A comeback is a resend that has ended.
type comeback struct {
	seq   uint64
	letIn bool
}

// enter enters one item.
func (k *Queue) enter(t *Tx, item any, stored *[]control.MessageID, back *[]comeback) error {
	now := k.clock.now()
	switch x := item.(type) {
	case beginning:
		k.began = true
		return k.begin(t, x, now)
	case settled:
		for _, id := range x.ids {
			if err := t.settle(id); err != nil {
				return err
			}
		}
	case state.DeadLetter:
		if !x.NotAdmitted {
			*stored = append(*stored, x.Num)
		}
		if x.Seq > 0 {
			*back = append(*back, comeback{x.Seq, !x.NotAdmitted})
			return k.returned(t, &x, now)
		}
		return k.hold(t, &x, now)
	}
	return nil
}

// at turns a time of the loop into one of the keeper's clock.
func (k *Queue) at(when, now time.Time) time.Time {
	if when.IsZero() || when.Unix() == 0 {
		return time.Time{}
	}
	return now.Add(-time.Since(when))
}

// history turns the loop's tries into attempts.
func (k *Queue) history(tries []state.AttemptRecord, n int, now time.Time) []Attempt {
	list := attempts(tries, n)
	for i := range list {
		list[i].At = k.at(list[i].At, now)
	}
	return list
}

// hold enters a message that is new to the store.
func (k *Queue) hold(t *Tx, p *state.DeadLetter, now time.Time) error {
	m, words := p.Message, k.words.Load()
	r := Record{
		State: Held, ID: m.ID, Key: m.Key, Class: word(words.Classes, m.Class), Tenant: word(words.Tenants, m.Tenant),
		Destination: m.Destination, Size: len(m.Body), Reason: p.Reason, Deferred: p.Deferred, Deadline: m.Deadline.Round(0),
		HeldAt: now, AttemptCount: p.AttemptCount,
	}
	r.add(k.history(p.Attempts, 0, now))
	k.mu.Lock()
	asks := k.set.Rules()
	k.mu.Unlock()
	if asks {
		r.ReviewAt = now
	}
	added, err := t.Add(&r, m.Body)
	if err == nil && added {
		err = t.owe(m.ID)
	}
	return err
}

// returned enters what came of a resend. A second time it changes nothing.
func (k *Queue) returned(t *Tx, p *state.DeadLetter, now time.Time) error {
	err := t.change(p.Seq, func(r *Record) error {
		if r.State != Out || r.ID != p.Message.ID {
			return errUnchanged
		}
		if p.NotAdmitted { // it never was with the controller
			r.Redeliveries--
			r.order(now.Add(turnedPause), r.Until)
			return nil
		}
		r.AttemptCount = max(r.AttemptCount, p.AttemptCount)
		r.add(k.history(p.Attempts, r.Redeliveries, now))
		switch {
		case p.Delivered:
			r.did(now, "delivered", "sender")
			r.end(now, Delivered)
			return nil
		case p.Final:
			r.did(now, "the partner's side says that it is over", "sender")
			r.end(now, Over)
			return nil
		}
		r.Reason = p.Reason
		until := r.Until
		r.rest(time.Time{})
		why := k.eligible(r, now)
		switch {
		case why != nil:
			r.did(now, "not delivered: "+p.Reason+"; "+why.Reason, "sender")
		case now.Before(until):
			r.did(now, "not delivered: "+p.Reason, "sender")
			r.order(now, until)
			return nil
		default:
			r.did(now, "not delivered: "+p.Reason+"; its order has run out", "sender")
		}
		if k.rules() {
			r.ReviewAt = now
		}
		return nil
	})
	if errors.Is(err, errUnchanged) || errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

const turnedPause = 100 * time.Millisecond // until one that was not let in is tried again

var errUnchanged = errors.New("held: nothing to change")

func (k *Queue) rules() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.set.Rules()
}

// eligible asks whether a record may be sent now.
func (k *Queue) eligible(r *Record, now time.Time) *NotEligible {
	k.mu.Lock()
	blind := k.blind
	k.mu.Unlock()
	if r.Key != "" && !blind.IsZero() && r.HeldAt.Before(blind) {
		return never("its key may have been handed in anew while the store could not be asked")
	}
	at, _, _ := r.FirstRun()
	return k.words.Load().terms.Eligible(r, now, k.clock.sure(at))
}

// begin makes the store agree with the journal: what that still owes may come
// once more, and what is out and not known to it counts as sent, as it was
// written down before it left.
func (k *Queue) begin(t *Tx, b beginning, now time.Time) error {
	owed := map[string]bool{}
	for _, id := range b.owed {
		owed[id] = true
	}
	var done []string
	c := t.Bucket(bucketOwed).Cursor()
	for id, _ := c.First(); id != nil; id, _ = c.Next() {
		if !owed[cut(id)] {
			done = append(done, cut(id))
		}
	}
	for _, id := range done {
		if err := t.settle(id); err != nil {
			return err
		}
	}
	for id := range owed {
		if _, known := t.byID(id); known {
			if err := t.owe(id); err != nil {
				return err
			}
		}
	}
	out := map[uint64]bool{}
	for _, seq := range b.out {
		out[seq] = true
	}
	list, _, err := t.List(Filter{State: Out}, 0, looksMost)
	if err != nil {
		return err
	}
	for _, r := range list {
		if out[r.Sequence] {
			continue
		}
		err := t.change(r.Sequence, func(r *Record) error {
			at := r.HeldAt
			if n := len(r.Events); n > 0 {
				at = r.Events[n-1].At
			}
			r.add([]Attempt{{At: at, Result: results[control.Unknown], MayHaveRun: true, Redelivery: r.Redeliveries}})
			until := r.Until
			r.rest(time.Time{})
			r.did(now, "on its way as the sender ended: it may have been sent", "sender")
			if k.eligible(r, now) == nil && now.Before(until) {
				r.order(now, until)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// look does what time alone has made due: bounds, rules, resends.
func (k *Queue) look(s *Store) (time.Duration, error) {
	now := k.clock.now()
	var dests []int
	var seqs []uint64
	var next time.Time
	over := false
	k.mu.Lock()
	set := k.set
	k.mu.Unlock()
	bounds := Bounds{set.Held.MaxBytes, set.Held.MaxRecords, set.Held.MaxAge, set.Held.KeepEnded}
	err := s.View(func(t *Tx) error {
		seqs, next = t.due(now, dueMost)
		dests = t.readyDests()
		over = int64(t.counter(metaBytes)) > bounds.Bytes || t.counter(metaCount) > uint64(bounds.Records)
		return nil
	})
	if err != nil {
		return 0, err
	}
	busy := false
	if over || now.Sub(k.tidied) >= quietSpan {
		var gone Evicted
		err := s.Update(func(t *Tx) (err error) {
			if gone, err = t.evict(bounds, now); err == nil {
				err = k.stamp(t)
			}
			return err
		})
		if err != nil {
			return 0, err
		}
		if gone.Open+gone.Aged > 0 {
			k.log.Warn("held: records evicted", "over_bounds", gone.Open, "too_old", gone.Aged, "ended", gone.Ended)
		}
		busy = over && gone.Open+gone.Aged+gone.Ended > 0
		if !busy {
			k.tidied = now
		}
		k.mu.Lock()
		k.planner.Prune(k.since())
		k.mu.Unlock()
	}
	if len(seqs) > 0 || k.sweeps {
		if err := s.Update(func(t *Tx) error { return k.decide(t, set, seqs, now) }); err != nil {
			return 0, err
		}
		busy = true
	}
	if k.began && len(dests) > 0 {
		sent, err := k.send(s, dests, now)
		if err != nil {
			return 0, err
		}
		busy = busy || sent
	}
	if busy {
		return 0, nil
	}
	wait := quietSpan
	if !next.IsZero() {
		wait = min(wait, max(0, next.Sub(now)))
	}
	if len(dests) > 0 {
		k.mu.Lock()
		at := k.since()
		wait = min(wait, k.planner.NextGrant(at, dests)-at)
		k.mu.Unlock()
	}
	return max(wait, time.Millisecond), nil
}

// decide asks the rules about records whose time has come, and readies orders.
func (k *Queue) decide(t *Tx, set *settings.Settings, seqs []uint64, now time.Time) error {
	if k.sweeps {
		list, next, err := t.List(Filter{State: Held}, k.sweep, sweepMost)
		if err != nil {
			return err
		}
		for _, r := range list {
			if !r.ReviewAt.IsZero() {
				continue
			}
			if err := t.change(r.Sequence, func(r *Record) error { r.ReviewAt = now; return nil }); err != nil {
				return err
			}
		}
		k.sweep, k.sweeps = next, next > 0
	}
	for _, seq := range seqs {
		err := t.change(seq, func(r *Record) error {
			switch {
			case t.Owed(r.ID): // not before its client was told
				if r.State == Ordered {
					r.NotBefore = now.Add(owedPause)
				} else {
					r.ReviewAt = now.Add(owedPause)
				}
			case r.State == Ordered && !now.Before(r.Until):
				k.runOut(r, now)
			case r.State == Ordered:
				r.Ready = true
			case r.State == Held:
				k.ask(r, set, now)
			}
			return nil
		})
		if err != nil && !errors.Is(err, ErrNotFound) {
			return err
		}
	}
	return nil
}

// runOut ends an order that was not carried out in its time.
func (k *Queue) runOut(r *Record, now time.Time) {
	r.rest(time.Time{})
	r.did(now, "its order has run out", "sender")
	if k.rules() {
		r.ReviewAt = now
	}
}

// ask asks the rule after about a held record.
func (k *Queue) ask(r *Record, set *settings.Settings, now time.Time) {
	k.mu.Lock()
	partner := k.partner(r.Destination)
	k.mu.Unlock()
	answer, err := set.Decide(view(r, now), partner)
	if err != nil {
		k.say("held: the rule after failed, the record is kept", "err", err.Error())
	}
	r.ReviewAt = time.Time{}
	switch answer.Action {
	case settings.KeepRecord:
		if answer.ReviewIn > 0 {
			r.ReviewAt = now.Add(answer.ReviewIn)
		}
	case settings.DropRecord:
		r.did(now, "dropped", "rule")
		r.end(now, Dropped)
	case settings.Redeliver:
		if why := k.eligible(r, now); why != nil {
			r.did(now, "not sent again: "+why.Reason, "rule")
			return
		}
		r.did(now, "ordered", "rule")
		r.order(now.Add(answer.Delay), now.Add(answer.Delay+answer.Within))
	}
}

// view is a record as rules see it.
func view(r *Record, now time.Time) settings.Record {
	_, _, ran := r.FirstRun()
	return settings.Record{
		ID: r.ID, Key: r.Key, Class: r.Class, Tenant: r.Tenant, Destination: r.Destination, Size: r.Size, Reason: r.Reason,
		MayHaveRun: ran, Deferred: r.Deferred, Attempts: r.AttemptCount, Resends: r.Redeliveries,
		TimeLeft: max(0, r.Deadline.Sub(r.HeldAt)), Age: max(0, now.Sub(r.HeldAt)),
	}
}

// send has the planner say what may go, writes it down as sent, and gives it to
// the loop.
func (k *Queue) send(s *Store, dests []int, now time.Time) (bool, error) {
	k.mu.Lock()
	grants := k.planner.Grant(k.since(), dests, k.load)
	k.mu.Unlock()
	if len(grants) == 0 {
		return false, nil
	}
	var leaving []state.Redelivery
	var unused []int
	err := s.Update(func(t *Tx) error {
		leaving, unused = leaving[:0], unused[:0]
		for _, dest := range grants {
			e, err := k.release(t, dest, now)
			if err != nil {
				return err
			}
			if e == nil {
				unused = append(unused, dest)
			} else {
				leaving = append(leaving, *e)
			}
		}
		return k.stamp(t)
	})
	if err != nil {
		unused, leaving = grants, nil
	}
	k.mu.Lock()
	for _, dest := range unused {
		k.planner.RedeliveryEnded(k.since(), dest, true)
	}
	for _, e := range leaving {
		k.granted[e.Seq] = e.Message.Destination
	}
	k.mu.Unlock()
	for _, e := range leaving {
		k.post.Post(e)
	}
	return true, err
}

// release takes the next record for a destination out of the store; nil where
// the one that was next may not go.
func (k *Queue) release(t *Tx, dest int, now time.Time) (*state.Redelivery, error) {
	tenants := t.readyTenants(dest)
	if len(tenants) == 0 {
		return nil, nil
	}
	k.mu.Lock()
	tenant := k.planner.NextTenant(k.since(), dest, tenants)
	k.mu.Unlock()
	seq, found := t.readyFirst(dest, tenant)
	if !found {
		return nil, nil
	}
	var leaving *state.Redelivery
	err := t.change(seq, func(r *Record) error {
		why := k.eligible(r, now)
		switch {
		case t.Owed(r.ID):
			r.order(now.Add(owedPause), r.Until)
			return nil
		case !now.Before(r.Until):
			k.runOut(r, now)
			return nil
		case why != nil:
			r.rest(time.Time{})
			r.did(now, "not sent again: "+why.Reason, "sender")
			return nil
		}
		body, err := t.Body(seq)
		if err != nil {
			return err
		}
		e := &state.Redelivery{Seq: seq, Attempts: r.AttemptCount, Message: k.message(r, body, now)}
		at, zone, ran := r.FirstRun()
		if e.MayHaveRun, e.FirstRunZone = ran, zone; ran {
			e.FirstRunAgo = now.Sub(at)
		}
		r.State, r.Ready = Out, false
		r.Redeliveries++
		r.did(now, "sent again", "sender")
		leaving = e
		return nil
	})
	return leaving, err
}

// message is a record as a message once more. Its time is short of its class's
// by the aim, so that it is among the deferred ones from the start: by the
// design's selection round, fresh messages for the partner go first.
func (k *Queue) message(r *Record, body []byte, now time.Time) *state.Message {
	words := k.words.Load()
	class := words.terms.Classes[r.Class]
	left := max(class.Deadline-class.LatencyObjective, class.Deadline/2)
	m := &state.Message{
		ID: r.ID, Key: r.Key, Destination: r.Destination, Resubmitted: true,
		Deadline: time.Now().Add(min(left, r.Until.Sub(now))), Body: append([]byte(nil), body...),
		Class: words.number(r.Class), Tenant: max(0, slices.Index(words.Tenants, r.Tenant)),
	}
	return m
}
