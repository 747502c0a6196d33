package deadletter

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/maphash"
	"log/slog"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// The store is one bbolt file. Records and bodies are framed values; all other
// buckets are indexes, whose keys follow from the record alone.
const (
	fileName   = "held.db"
	lockName   = "held.lock"
	lockWait   = 2 * time.Second // a predecessor may still be ending
	formatNow  = 1
	auditMost  = 10_000 // entries
	evictSteps = 2_000  // records evicted in one go
)

var (
	bucketMeta     = []byte("meta")
	bucketRecords  = []byte("records") // seq -> record
	bucketBodies   = []byte("bodies")  // seq -> body
	bucketIDs      = []byte("ids")     // id -> seq
	bucketKeys     = []byte("keys")    // class, key, seq; held and ordered ones
	bucketOwed     = []byte("owed")    // ids that the journal may bring once more
	bucketReady    = []byte("ready")   // destination, tenant, seq: ordered, and its time has come
	bucketDue      = []byte("due")     // time, seq: looked at then
	bucketEnded    = []byte("ended")   // time, seq
	bucketTimes    = []byte("times")   // held at, seq
	bucketDests    = []byte("destinations")
	bucketTenants  = []byte("tenants")
	bucketClasses  = []byte("classes")
	bucketReasons  = []byte("reasons")
	bucketStates   = []byte("states")
	bucketAudit    = []byte("audit")
	allBuckets     = [][]byte{bucketMeta, bucketRecords, bucketBodies, bucketIDs, bucketKeys, bucketOwed, bucketReady, bucketDue, bucketEnded, bucketTimes, bucketDests, bucketTenants, bucketClasses, bucketReasons, bucketStates, bucketAudit}
	indexedBuckets = [][]byte{bucketIDs, bucketKeys, bucketReady, bucketDue, bucketEnded, bucketTimes, bucketDests, bucketTenants, bucketClasses, bucketReasons, bucketStates}
)

// The counters in the meta bucket.
const (
	metaFormat  = "format"
	metaBytes   = "bytes"
	metaCount   = "records"
	metaEvicted = "evicted"
	metaAged    = "aged"
	metaLatest  = "latest" // the latest time seen, Unix microseconds
)

// Errors of the store.
var (
	ErrNotFound = errors.New("held: no such record")
	ErrInUse    = errors.New("held: another process has the store open; ask the running sender by --socket")
	ErrDamaged  = errors.New("held: the store is damaged")
	ErrNewer    = errors.New("held: the store was written by a newer version")
)

// Bounds are what a store may hold.
type Bounds struct {
	Bytes          int64
	Records        int
	Age            time.Duration
	EndedRetention time.Duration
}

// Store is the file. Any goroutine may read; one alone may write.
type Store struct {
	db   *bolt.DB
	lock *os.File // held as long as the store is open
	file *os.File // bbolt's own
	path string

	mu     sync.Mutex
	counts map[int]int      // open records by destination
	keys   map[uint64]int32 // held and ordered records by the hash of class and key
}

var keySeed = maphash.MakeSeed()

// keyHash stands for a key in memory. Two keys of one hash cost a look at the file.
func keyHash(class, key string) uint64 { return maphash.String(keySeed, class+"\x00"+key) }

// Count is the number of open records for a destination.
func (s *Store) Count(dest int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[dest]
}

// MayHold tells whether a record with that key may be held: false is certain.
func (s *Store) MayHold(class, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[keyHash(class, key)] > 0
}

// add applies what a transaction changed. One that falls to nothing is forgotten.
func add[K comparable, N int | int32](to map[K]N, by map[K]N) {
	for k, n := range by {
		if to[k] += n; to[k] <= 0 {
			delete(to, k)
		}
	}
}

// Open opens the store of a folder for writing, and makes one if there is none.
// A damaged file is set aside under another name, and what can be read of it is
// taken over; both are said in the log.
func Open(folder string, log *slog.Logger) (*Store, error) { return reopen(folder, nil, log) }

// reopen is Open for a store that was found to be damaged at work (cause): it is
// taken over even if it looks whole now.
func reopen(folder string, cause error, log *slog.Logger) (*Store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	lock, err := lockFolder(folder, false)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, fileName)
	var s *Store
	if err = finishRecovery(path); err == nil {
		s, err = open(path, false)
	}
	if err == nil && cause != nil {
		s.Close()
		err = cause
	}
	if errors.Is(err, ErrDamaged) {
		s, err = recoverStore(path, err, log)
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	s.lock = lock
	return s, nil
}

// OpenReading opens the store of a folder whose sender does not run.
func OpenReading(folder string) (*Store, error) {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	lock, err := lockFolder(folder, true)
	if err != nil {
		return nil, err
	}
	s, err := open(path, true)
	if err != nil {
		lock.Close()
		return nil, err
	}
	s.lock = lock
	return s, nil
}

// lockFolder keeps other processes off: a writer all of them, a reader writers.
// The lock ends with the process.
func lockFolder(folder string, reading bool) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	how := syscall.LOCK_EX
	if reading {
		how = syscall.LOCK_SH
	}
	for limit := time.Now().Add(lockWait); ; time.Sleep(lockWait / 40) {
		if err = syscall.Flock(int(f.Fd()), how|syscall.LOCK_NB); err == nil {
			break
		}
		if reading || time.Now().After(limit) {
			by := make([]byte, 16)
			n, _ := f.ReadAt(by, 0)
			f.Close()
			return nil, fmt.Errorf("%w (process %s)", ErrInUse, bytes.TrimSpace(by[:n]))
		}
	}
	if !reading {
		f.Truncate(0)
		fmt.Fprintln(f, os.Getpid())
	}
	return f, nil
}

func open(path string, reading bool) (*Store, error) {
	if err := metasWhole(path); err != nil {
		return nil, err
	}
	s := &Store{path: path, counts: map[int]int{}, keys: map[uint64]int32{}}
	var file *os.File // a panic within bolt.Open leaves it open, and locked
	err := guard(func() error {
		// The list of free pages is kept in the file: without it bbolt walks all pages on a
		// goroutine of its own as it opens, and a damaged one would end the process there.
		db, err := bolt.Open(path, 0o600, &bolt.Options{
			Timeout: lockWait, ReadOnly: reading, FreelistType: bolt.FreelistMapType, NoStatistics: true,
			OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
				f, err := os.OpenFile(name, flag, mode)
				file = f
				return f, err
			},
		})
		if err != nil {
			return err
		}
		s.db = db
		if !reading && db.View(prepared) != nil {
			if err := db.Update(prepare); err != nil {
				return err
			}
		}
		return db.View(s.verify)
	})
	s.file = file
	if err == nil {
		return s, nil
	}
	s.abandon()
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, ErrInUse
	case errors.Is(err, ErrNewer):
		return nil, err
	case errors.Is(err, os.ErrPermission), isSystem(err):
		return nil, fmt.Errorf("held: %w", err)
	}
	return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
}

// isSystem tells an error of the disk from one of what stands on it.
func isSystem(err error) bool {
	var p *os.PathError
	return errors.As(err, &p)
}

// guard runs something on the file. bbolt takes the file for whole: where it is
// not, it may panic, or read beyond what there is.
func guard(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

// Update runs a change as one transaction. Only the writer calls it.
func (s *Store) Update(f func(*Tx) error) error {
	return guard(func() error {
		var t *Tx
		err := s.db.Update(func(tx *bolt.Tx) error {
			t = &Tx{Tx: tx, deltas: map[int]int{}, keys: map[uint64]int32{}}
			return f(t)
		})
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			add(s.counts, t.deltas)
			add(s.keys, t.keys)
		}
		return err
	})
}

// View runs a look at the store.
func (s *Store) View(f func(*Tx) error) error {
	return guard(func() error { return s.db.View(func(tx *bolt.Tx) error { return f(&Tx{Tx: tx}) }) })
}

// abandon leaves a damaged store. bbolt's own Close may wait for good for what a
// panic within it has locked, and what it has mapped keeps the lock on the file: the
// lock goes, and the mapping stays with the process.
func (s *Store) abandon() {
	if s.file != nil {
		syscall.Flock(int(s.file.Fd()), syscall.LOCK_UN)
		s.file.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
}

// Close closes the file and lets others in.
func (s *Store) Close() error {
	err := guard(s.db.Close)
	if s.lock != nil {
		s.lock.Close()
	}
	return err
}

// prepared tells whether there is nothing to prepare.
func prepared(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return ErrNotFound
		}
	}
	return nil
}

func prepare(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	meta := tx.Bucket(bucketMeta)
	if v := meta.Get([]byte(metaFormat)); v == nil {
		return meta.Put([]byte(metaFormat), num(formatNow))
	} else if len(v) != 8 || binary.BigEndian.Uint64(v) > formatNow {
		return ErrNewer
	}
	return nil
}

// verify reads each record's frame, and counts the open ones by destination.
func (s *Store) verify(tx *bolt.Tx) error {
	for _, name := range allBuckets {
		if tx.Bucket(name) == nil {
			return fmt.Errorf("%w: no bucket %q", ErrDamaged, name)
		}
	}
	meta := tx.Bucket(bucketMeta)
	if v := meta.Get([]byte(metaFormat)); len(v) == 8 && binary.BigEndian.Uint64(v) > formatNow {
		return ErrNewer
	}
	n := uint64(0)
	err := tx.Bucket(bucketRecords).ForEach(func(k, v []byte) error {
		n++
		if p, whole := unframe(v); !whole || len(k) != 8 || p.kind != kindRecord || p.seq != binary.BigEndian.Uint64(k) {
			return fmt.Errorf("%w: record %x", ErrDamaged, k)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if v := meta.Get([]byte(metaCount)); n > 0 && (len(v) != 8 || binary.BigEndian.Uint64(v) != n) {
		return fmt.Errorf("%w: %d records found, another count written", ErrDamaged, n)
	}
	for _, state := range []State{Held, Ordered, Out} {
		c, prefix := tx.Bucket(bucketStates).Cursor(), name(string(state))
		for k, v := c.Seek(prefix); bytes.HasPrefix(k, prefix); k, v = c.Next() {
			if len(v) != 8 {
				return fmt.Errorf("%w: index of states", ErrDamaged)
			}
			s.counts[unsign(v)]++
		}
	}
	return tx.Bucket(bucketKeys).ForEach(func(k, _ []byte) error {
		class, rest, ok := bytes.Cut(k, []byte{0})
		if !ok || len(rest) < 9 {
			return fmt.Errorf("%w: index of keys", ErrDamaged)
		}
		s.keys[keyHash(string(class), string(rest[:len(rest)-9]))]++
		return nil
	})
}

func unsign(b []byte) int { return int(int64(binary.BigEndian.Uint64(b) ^ 1<<63)) }

// Tx is a transaction on the store.
type Tx struct {
	*bolt.Tx
	deltas map[int]int
	keys   map[uint64]int32
}

func (t *Tx) counter(name string) uint64 {
	if v := t.Bucket(bucketMeta).Get([]byte(name)); len(v) == 8 {
		return binary.BigEndian.Uint64(v)
	}
	return 0
}

func (t *Tx) count(name string, by int64) error {
	return t.Bucket(bucketMeta).Put([]byte(name), num(uint64(int64(t.counter(name))+by)))
}

// Get returns a record.
func (t *Tx) Get(seq uint64) (Record, error) {
	v := t.Bucket(bucketRecords).Get(num(seq))
	if v == nil {
		return Record{}, fmt.Errorf("%w: %d", ErrNotFound, seq)
	}
	p, whole := unframe(v)
	if r, ok := decode(p); whole && ok && p.seq == seq {
		return r, nil
	}
	return Record{}, fmt.Errorf("%w: record %d", ErrDamaged, seq)
}

// Body returns the body of a record. It holds until the transaction ends.
func (t *Tx) Body(seq uint64) ([]byte, error) {
	v := t.Bucket(bucketBodies).Get(num(seq))
	if v == nil {
		return nil, fmt.Errorf("%w: body of %d", ErrNotFound, seq)
	}
	p, whole := unframe(v)
	if !whole || p.kind != kindBody || p.seq != seq {
		return nil, fmt.Errorf("%w: body of %d", ErrDamaged, seq)
	}
	return p.payload, nil
}

// An entry of an index.
type slot struct{ bucket, key, value []byte }

// slots are the index entries of a record.
func slots(r *Record) []slot {
	seq := num(r.Sequence)
	list := []slot{
		{bucketIDs, name(r.ID), seq},
		{bucketTimes, join(num(uint64(r.HeldAt.UnixMicro())), seq), nil},
		{bucketDests, join(signed(r.Destination), seq), nil},
		{bucketTenants, join(name(r.Tenant), seq), nil},
		{bucketClasses, join(name(r.Class), seq), nil},
		{bucketReasons, join(name(r.Reason), seq), nil},
		{bucketStates, join(name(string(r.State)), seq), signed(r.Destination)},
	}
	at := func(t time.Time) []byte { return join(num(uint64(max(0, t.UnixMicro()))), seq) }
	switch {
	case r.State.Ended():
		list = append(list, slot{bucketEnded, at(r.EndedAt), nil})
	case r.State == Ordered && r.Ready:
		list = append(list, slot{bucketReady, join(signed(r.Destination), name(r.Tenant), seq), nil})
	case r.State == Ordered:
		list = append(list, slot{bucketDue, at(r.NotBefore), nil})
	case r.State == Held && !r.ReviewAt.IsZero():
		list = append(list, slot{bucketDue, at(r.ReviewAt), nil})
	}
	if r.Key != "" && (r.State == Held || r.State == Ordered) {
		list = append(list, slot{bucketKeys, join(name(r.Class), name(r.Key), seq), nil})
	}
	return list
}

// keyed counts a record's key, as it comes or goes.
func (t *Tx) keyed(r *Record, by int32) {
	if r.Key != "" && (r.State == Held || r.State == Ordered) {
		t.keys[keyHash(r.Class, r.Key)] += by
	}
}

// byKey lists the held and ordered records with a key.
func (t *Tx) byKey(class, key string) (seqs []uint64) {
	prefix := join(name(class), name(key))
	c := t.Bucket(bucketKeys).Cursor()
	for k, _ := c.Seek(prefix); bytes.HasPrefix(k, prefix) && len(k) == len(prefix)+8; k, _ = c.Next() {
		seqs = append(seqs, binary.BigEndian.Uint64(k[len(prefix):]))
	}
	return seqs
}

// unslot takes a record out of the indexes. The id may by now be another record's.
func (t *Tx) unslot(r *Record) error {
	for _, s := range slots(r) {
		b := t.Bucket(s.bucket)
		if s.value != nil && !bytes.Equal(b.Get(s.key), s.value) {
			continue
		}
		if err := b.Delete(s.key); err != nil {
			return err
		}
	}
	return nil
}

// weight is what a record counts toward the bound in bytes.
func (t *Tx) weight(seq uint64) int64 {
	return int64(len(t.Bucket(bucketRecords).Get(num(seq))) + len(t.Bucket(bucketBodies).Get(num(seq))))
}

// put writes a record in the place of its former state (nil: it is new), with
// its indexes. A body that an ended record needs no more goes with it.
func (t *Tx) put(r, former *Record) error {
	before := t.weight(r.Sequence)
	if former != nil {
		if err := t.unslot(former); err != nil {
			return err
		}
		t.keyed(former, -1)
		if !former.State.Ended() {
			t.deltas[former.Destination]--
		}
	}
	t.keyed(r, 1)
	r.Revision++
	payload, err := encode(r)
	if err != nil {
		return fmt.Errorf("held: %w", err)
	}
	if err := t.Bucket(bucketRecords).Put(num(r.Sequence), frame(kindRecord, r.Sequence, r.Revision, payload)); err != nil {
		return err
	}
	for _, s := range slots(r) {
		if err := t.Bucket(s.bucket).Put(s.key, s.value); err != nil {
			return err
		}
	}
	if r.State.Ended() {
		if err := t.Bucket(bucketBodies).Delete(num(r.Sequence)); err != nil {
			return err
		}
	} else {
		t.deltas[r.Destination]++
	}
	return t.count(metaBytes, t.weight(r.Sequence)-before)
}

// change reads a record, has it changed and writes it.
func (t *Tx) change(seq uint64, f func(*Record) error) error {
	former, err := t.Get(seq)
	if err != nil {
		return err
	}
	r := former
	if err := f(&r); err != nil {
		return err
	}
	return t.put(&r, &former)
}

// byID finds the record of a message's id.
func (t *Tx) byID(id string) (uint64, bool) {
	v := t.Bucket(bucketIDs).Get(name(id))
	if len(v) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(v), true
}

// Add enters a new record with its body. Where the id is known already, nothing
// changes: the journal may bring a message twice.
func (t *Tx) Add(r *Record, body []byte) (added bool, err error) {
	if _, known := t.byID(r.ID); known || t.Bucket(bucketOwed).Get(name(r.ID)) != nil {
		return false, nil
	}
	if r.Sequence, err = t.Bucket(bucketRecords).NextSequence(); err != nil {
		return false, err
	}
	if err := t.put(r, nil); err != nil {
		return false, err
	}
	framed := frame(kindBody, r.Sequence, 0, body)
	if err := t.Bucket(bucketBodies).Put(num(r.Sequence), framed); err != nil {
		return false, err
	}
	if err := t.count(metaBytes, int64(len(framed))); err != nil {
		return false, err
	}
	return true, t.count(metaCount, 1)
}

// remove takes a record out of the store for good.
func (t *Tx) remove(r *Record) error {
	before := t.weight(r.Sequence)
	if err := t.unslot(r); err != nil {
		return err
	}
	t.keyed(r, -1)
	if !r.State.Ended() {
		t.deltas[r.Destination]--
	}
	for _, b := range [][]byte{bucketRecords, bucketBodies} {
		if err := t.Bucket(b).Delete(num(r.Sequence)); err != nil {
			return err
		}
	}
	if err := t.count(metaBytes, -before); err != nil {
		return err
	}
	return t.count(metaCount, -1)
}

// owe notes that the journal may bring a message once more; settle that it can't.
func (t *Tx) owe(id string) error { return t.Bucket(bucketOwed).Put(name(id), []byte{1}) }

func (t *Tx) settle(id string) error { return t.Bucket(bucketOwed).Delete(name(id)) }

// Owed tells whether the journal still has a message: its client may not have
// been told that it is undeliverable, so it must not be sent again yet.
func (t *Tx) Owed(id string) bool { return t.Bucket(bucketOwed).Get(name(id)) != nil }

// Evicted tells what a bound has cost.
type Evicted struct{ Ended, Open, Aged int }

// evict keeps the bounds: what is too old goes first; then, as long as the store
// is over, the ended ones in the order of their ends, and last the held ones,
// longest held first. One that is out, or that the journal may bring again, stays.
func (t *Tx) evict(b Bounds, now time.Time) (Evicted, error) {
	var gone Evicted
	sweep := func(bucket []byte, stop func(at time.Time) bool, tally *int) error {
		type aged struct {
			at  time.Time
			seq uint64
		}
		var list []aged
		c := t.Bucket(bucket).Cursor()
		for k, _ := c.First(); len(k) == 16 && len(list) < evictSteps/4; k, _ = c.Next() {
			x := aged{time.UnixMicro(int64(binary.BigEndian.Uint64(k))), binary.BigEndian.Uint64(k[8:])}
			if stop(x.at) {
				break
			}
			list = append(list, x)
		}
		for _, x := range list {
			r, err := t.Get(x.seq)
			if err != nil {
				return err
			}
			if stop(x.at) { // what went before it may have been enough
				break
			}
			if r.State == Out || t.Owed(r.ID) {
				continue
			}
			if err := t.remove(&r); err != nil {
				return err
			}
			*tally++
		}
		return nil
	}
	over := func(time.Time) bool {
		return int64(t.counter(metaBytes)) <= b.Bytes && t.counter(metaCount) <= uint64(b.Records)
	}
	err := errors.Join(
		sweep(bucketTimes, func(at time.Time) bool { return now.Sub(at) < b.Age }, &gone.Aged),
		sweep(bucketEnded, func(at time.Time) bool { return now.Sub(at) < b.EndedRetention }, &gone.Ended),
		sweep(bucketEnded, over, &gone.Ended),
		sweep(bucketTimes, over, &gone.Open),
	)
	if err == nil && gone.Open > 0 {
		err = t.count(metaEvicted, int64(gone.Open))
	}
	if err == nil && gone.Aged > 0 {
		err = t.count(metaAged, int64(gone.Aged))
	}
	return gone, err
}

// AuditEntry is an entry of the audit trail.
type AuditEntry struct {
	At       time.Time `json:"at"`
	By       string    `json:"by"`
	Verb     string    `json:"verb"`
	Filter   *Filter   `json:"filter,omitempty"`
	Records  []uint64  `json:"records,omitempty"` // the first ones
	Done     int       `json:"done"`
	Rejected int       `json:"refused"`
}

const auditNames = 100 // records named in one entry

// audit adds an entry to the trail, which keeps the latest.
func (t *Tx) audit(a AuditEntry) error {
	b := t.Bucket(bucketAudit)
	n, err := b.NextSequence()
	if err != nil {
		return err
	}
	if len(a.Records) > auditNames {
		a.Records = a.Records[:auditNames]
	}
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	if err := b.Put(num(n), text); err != nil || n <= auditMost {
		return err
	}
	return b.Delete(num(n - auditMost))
}

// Audit returns the latest entries of the trail, the newest first.
func (t *Tx) Audit(most int) ([]AuditEntry, error) {
	var list []AuditEntry
	c := t.Bucket(bucketAudit).Cursor()
	for k, v := c.Last(); k != nil && len(list) < most; k, v = c.Prev() {
		var a AuditEntry
		if err := json.Unmarshal(v, &a); err != nil {
			return list, fmt.Errorf("%w: audit trail: %w", ErrDamaged, err)
		}
		list = append(list, a)
	}
	return list, nil
}
