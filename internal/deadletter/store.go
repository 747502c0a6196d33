package deadletter

import (
	"bytes"
	"errors"
	"fmt"
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

const (
	fileName        = "held.db"
	lockName        = "held.lock"
	lockTimeout     = 2 * time.Second // the predecessor may still be shutting down
	formatVersion   = 1
	maxAuditEntries = 10_000
	maxEvictions    = 2_000 // records evicted in one transaction
)

// Errors returned by a Store.
var (
	ErrNotFound = errors.New("held: no such record")
	ErrInUse    = errors.New("held: another process has the store open; ask the running sender by --socket")
	ErrDamaged  = errors.New("held: the store is damaged")
	ErrNewer    = errors.New("held: the store was written by a newer version")
)

// Store is an open dead-letter store in a bbolt file. Any goroutine may read; only one goroutine may write.
type Store struct {
	db   *bolt.DB
	lock *os.File // locked as long as the store is open
	file *os.File // the file opened by bbolt
	path string

	mu         sync.Mutex
	openCounts map[int]int      // open records by destination
	keyCounts  map[uint64]int32 // held and ordered records by the hash of class and key
}

// Count returns the number of open records of a destination.
func (s *Store) Count(dest int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openCounts[dest]
}

// MayContain reports whether a held or ordered record with a key may exist. There are no false negatives.
func (s *Store) MayContain(class, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keyCounts[keyHash(class, key)] > 0
}

// applyDeltas adds the deltas of a transaction to counts and removes counts that drop to zero.
func applyDeltas[K comparable, N int | int32](counts map[K]N, deltas map[K]N) {
	for k, n := range deltas {
		if counts[k] += n; counts[k] <= 0 {
			delete(counts, k)
		}
	}
}

// Open opens the store in a folder for writing and creates it if it does not exist. A damaged file is renamed, and its
// readable records are copied to a new file; both steps are logged. It returns ErrInUse if another process has the
// store open, and ErrNewer if the store has a newer format.
func Open(folder string, log *slog.Logger) (*Store, error) { return openOrRecover(folder, nil, log) }

// openOrRecover implements Open. A cause other than nil is damage that was detected while the store was in use; the
// store is then recovered even if it appears intact.
func openOrRecover(folder string, cause error, log *slog.Logger) (*Store, error) {
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

// OpenReadOnly opens the store in a folder for reading. It returns ErrInUse while a sender has the store open.
func OpenReadOnly(folder string) (*Store, error) {
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

// lockFolder locks a folder: exclusively for a writer, shared for readers. The operating system releases the lock when
// the process exits.
func lockFolder(folder string, readOnly bool) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("held: %w", err)
	}
	lockMode := syscall.LOCK_EX
	if readOnly {
		lockMode = syscall.LOCK_SH
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 40) {
		if err = syscall.Flock(int(f.Fd()), lockMode|syscall.LOCK_NB); err == nil {
			break
		}
		if readOnly || time.Now().After(deadline) {
			owner := make([]byte, 16)
			n, _ := f.ReadAt(owner, 0)
			f.Close()
			return nil, fmt.Errorf("%w (process %s)", ErrInUse, bytes.TrimSpace(owner[:n]))
		}
	}
	if !readOnly {
		f.Truncate(0)
		fmt.Fprintln(f, os.Getpid())
	}
	return f, nil
}

// open opens and verifies a store file. The caller must have locked its folder.
func open(path string, readOnly bool) (*Store, error) {
	if err := checkMetaPages(path); err != nil {
		return nil, err
	}
	s := &Store{path: path, openCounts: map[int]int{}, keyCounts: map[uint64]int32{}}
	var file *os.File // a panic in bolt.Open would leave it open and locked
	err := recoverPanics(func() error {
		// The free list must be stored in the file. Otherwise bbolt reads all pages in a goroutine of its own, where a
		// damaged page would crash the process.
		db, err := bolt.Open(path, 0o600, &bolt.Options{
			Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType, NoStatistics: true,
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
		if !readOnly && db.View(requireBuckets) != nil {
			if err := db.Update(createBuckets); err != nil {
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
	case errors.Is(err, os.ErrPermission), isFileSystemError(err):
		return nil, fmt.Errorf("held: %w", err)
	}
	return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
}

// isFileSystemError reports whether an error comes from the file system and not from damaged content.
func isFileSystemError(err error) bool {
	var p *os.PathError
	return errors.As(err, &p)
}

// recoverPanics runs f and converts a panic or memory fault to ErrDamaged: on a damaged file bbolt may panic, or read
// beyond the end of the mapped file.
func recoverPanics(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	return f()
}

// Update runs a write transaction. It must only be called by the writer.
func (s *Store) Update(f func(*Tx) error) error {
	return recoverPanics(func() error {
		var t *Tx
		err := s.db.Update(func(tx *bolt.Tx) error {
			t = &Tx{Tx: tx, openCounts: map[int]int{}, keyCounts: map[uint64]int32{}}
			return f(t)
		})
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			applyDeltas(s.openCounts, t.openCounts)
			applyDeltas(s.keyCounts, t.keyCounts)
		}
		return err
	})
}

// View runs a read transaction.
func (s *Store) View(f func(*Tx) error) error {
	return recoverPanics(func() error { return s.db.View(func(tx *bolt.Tx) error { return f(&Tx{Tx: tx}) }) })
}

// abandon releases the locks of a damaged store without closing the database: bbolt's Close could block forever on a
// mutex that a panic left locked, and without Close the mapping would keep the file locked. The mapping remains until
// the process exits.
func (s *Store) abandon() {
	if s.file != nil {
		syscall.Flock(int(s.file.Fd()), syscall.LOCK_UN)
		s.file.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
}

// Close closes the file and unlocks the folder.
func (s *Store) Close() error {
	err := recoverPanics(s.db.Close)
	if s.lock != nil {
		s.lock.Close()
	}
	return err
}
