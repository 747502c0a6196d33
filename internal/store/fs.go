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

// FS is what the store needs of a file system; a test's can stand behind it. Names
// are those of files in one folder.
type FS interface {
	Create(name string) (File, error) // must not exist yet
	Open(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	List() ([]string, error)
	Size(name string) (int64, error)
	SyncDir() error
	Lock() (io.Closer, error) // errors name the owner
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Dir is a folder of the machine's.
type Dir string

const lockName = "lock"

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create makes a file.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err // an interface that holds a nil *os.File is not nil
	}
	return f, nil
}

// Open opens one.
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

// Remove deletes one.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename gives one another name, over what may be there.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Size is how long one is.
func (d Dir) Size(name string) (int64, error) {
	info, err := os.Stat(d.path(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// List names the files.
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

// SyncDir makes names last over a power cut.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Lock takes the folder for this process alone, until it is closed or the process
// ends. Its file holds the pid of the owner.
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
	// The owner's number is for those who are refused: a disk that does not take it keeps nobody from starting.
	f.Truncate(0)
	f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	return f, nil
}

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("store: in use")
