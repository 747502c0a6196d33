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

// FS is one folder of a file system, as far as the store needs it. Names are those of files in the folder.
type FS interface {
	Create(name string) (File, error) // an error if it exists
	Open(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	List() ([]string, error)
	Size(name string) (int64, error)
	SyncDir() error
	Lock() (io.Closer, error) // the error of a locked folder names the owner
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Dir is a folder of the operating system's file system, by its path.
type Dir string

const lockName = "lock"

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err // an interface that holds a nil *os.File is not nil
	}
	return f, nil
}

// Open implements FS. A file that may only be read is opened so.
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

// Rename implements FS. It replaces a file of the new name.
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

// SyncDir implements FS: creations, removals and renames outlast a power cut after it.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock implements FS. It locks the folder for this process until the Closer is closed or the process ends. Where
// another process has it, the error is ErrLocked.
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
			return nil, fmt.Errorf("%w: process %s has %s", ErrLocked, strings.TrimSpace(string(owner[:n])), string(d))
		}
		return nil, err
	}
	// The pid is only for the error that others get, so that a full disk must not keep this process from starting.
	f.Truncate(0)
	f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	return f, nil
}

// ErrLocked means that another process has locked the folder.
var ErrLocked = errors.New("store: in use")
