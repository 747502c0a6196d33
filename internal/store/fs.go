package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// FS provides the file operations on one folder that the store needs. Names are names of files in the folder.
type FS interface {
	Create(name string) (File, error) // fails if the file exists
	Open(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	List() ([]string, error)
	Size(name string) (int64, error)
	SyncDir() error
	Lock() (io.Closer, error) // fails with ErrLocked if another process has the lock
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Dir implements FS for the folder with this path.
type Dir string

const lockName = "lock"

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err // f must not be returned: an interface with a nil *os.File is not nil
	}
	return f, nil
}

// Open implements FS. It opens a file read-only if permissions don't allow writing.
func (d Dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR, 0o600)
	if errors.Is(err, os.ErrPermission) {
		f, err = os.Open(d.path(name))
	}
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename implements FS. It replaces an existing file with the new name.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Size implements FS.
func (d Dir) Size(name string) (int64, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// List implements FS. It returns the names of regular files.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS. Earlier creations, removals and renames survive a power failure after it returns.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements FS. It locks the folder for this process until the Closer is closed or the process ends. If another
// process has the lock, it returns ErrLocked with the PID of that process.
func (d Dir) Lock() (io.Closer, error) {
	f, err := os.OpenFile(d.path(lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		owner := make([]byte, 20)
		n, _ := f.ReadAt(owner, 0)
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: process %s has locked %s", ErrLocked, strings.TrimSpace(string(owner[:n])), string(d))
		}
		return nil, err
	}
	// Errors are ignored: the PID is only for the error message of other processes, and a full disk must not prevent
	// this process from starting.
	f.Truncate(0)
	f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	return f, nil
}

// ErrLocked means that another process has locked the folder.
var ErrLocked = errors.New("store: in use")
