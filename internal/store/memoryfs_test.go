package store

import (
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
)

// memoryFS is an in-memory file system that can fail at any byte, run out of space, and lose unsynced data. It tracks
// the total size of all files.
type memoryFS struct {
	mu          sync.Mutex
	files       map[string]*memoryFile
	crashAfter  int   // bytes written and other changes until it fails; negative: never
	capacity    int64 // maximum size of all files in bytes; 0: unlimited
	peakBytes   int64 // maximum size that all files have had
	syncErr     error // error returned by syncs
	shortWrite  bool  // the next write writes only half of its data and fails
	syncs       int
	calls       int // modifying calls so far; they fail from number crashAtCall on
	crashAtCall int
}

type memoryFile struct {
	fs         *memoryFS
	data       []byte
	synced     []byte
	nameSynced bool // the folder entry was synced, so it survives a power failure
}

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string]*memoryFile{}, crashAfter: -1} }

// consume counts a call that writes n bytes or makes one other change, and returns how many of the n bytes are still
// written before the simulated failure.
func (m *memoryFS) consume(n int) (int, error) {
	if m.calls++; m.crashAtCall > 0 && m.calls >= m.crashAtCall {
		return 0, errCrashed
	}
	if m.crashAfter < 0 {
		return n, nil
	}
	if m.crashAfter < n {
		n, m.crashAfter = m.crashAfter, 0
		return n, errCrashed
	}
	m.crashAfter -= n
	return n, nil
}

func (m *memoryFS) usedBytes() int64 {
	sum := int64(blockSize)
	for _, f := range m.files {
		sum += roundToBlocks(int64(len(f.data)))
	}
	return sum
}

func (m *memoryFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.consume(1); err != nil {
		return nil, err
	}
	if m.files[name] != nil {
		return nil, os.ErrExist
	}
	m.files[name] = &memoryFile{fs: m}
	return m.files[name], nil
}

func (m *memoryFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.files[name]; f != nil {
		return f, nil
	}
	return nil, os.ErrNotExist // the same error as from the operating system
}

func (m *memoryFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.consume(1); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memoryFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memoryFS) List() (names []string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.files {
		names = append(names, name)
	}
	return names, nil
}

func (m *memoryFS) Size(name string) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.files[name] == nil {
		return 0, os.ErrNotExist
	}
	return int64(len(m.files[name].data)), nil
}

func (m *memoryFS) SyncDir() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.files {
		f.nameSynced = true
	}
	return nil
}

func (m *memoryFS) Lock() (io.Closer, error) { return noLock{}, nil }

// cutPower simulates a power failure. A random part of the unsynced data of each file remains. Files whose names were
// not synced are lost.
func (m *memoryFS) cutPower(rng *rand.Rand) {
	for name, f := range m.files {
		if !f.nameSynced {
			delete(m.files, name)
			continue
		}
		keep := len(f.synced)
		if more := len(f.data) - keep; more > 0 {
			keep += rng.IntN(more + 1)
		}
		f.data = f.data[:keep]
	}
	m.crashAfter, m.crashAtCall = -1, 0
}

func (f *memoryFile) ReadAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if at >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memoryFile) WriteAt(p []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	n, err := f.fs.consume(len(p))
	if f.fs.shortWrite && err == nil {
		f.fs.shortWrite = false
		n, err = n/2, errIO
	}
	grown := at + int64(n) - int64(len(f.data))
	if f.fs.capacity > 0 && grown > 0 && f.fs.usedBytes()+grown > f.fs.capacity {
		return 0, errNoSpace
	}
	if grown > 0 {
		f.data = append(f.data, make([]byte, grown)...)
	}
	copy(f.data[at:], p[:n])
	f.fs.peakBytes = max(f.fs.peakBytes, f.fs.usedBytes())
	return n, err
}

func (f *memoryFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.consume(1); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *memoryFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.fs.consume(1); err != nil {
		return err
	}
	if f.fs.syncErr != nil {
		return f.fs.syncErr
	}
	f.fs.syncs++
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }

type noLock struct{}

func (noLock) Close() error { return nil }

var (
	errCrashed = errors.New("simulated crash")
	errNoSpace = errors.New("no space left on device")
	errIO      = errors.New("input/output error")
)
