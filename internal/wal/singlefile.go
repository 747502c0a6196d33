package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"cleathold/internal/atomicfile"
	"cleathold/internal/store"
)

// The log of programs from before the store: one file of records, each a mark, the length and checksum of its
// payload, and the payload, that was rewritten whole under another name and renamed. It is read and imported once.
const (
	singleFileName        = "journal"
	singleFileReplacement = "journal.new"
	singleFileHeaderSize  = 12
	maxSingleFileRecord   = 64<<10 + 4096 // bytes of a payload: a body, and the rest
	minImportSegment      = 16 << 10      // bytes of a segment of the store that is made of it
)

var singleFileMagic = []byte{0xc1, 0xea, 0x7d, 0x01}

// importSingleFile makes a store of a single file. The file counts until all of it is in the store, and is removed
// then: a store that is found beside it is an import that was broken off, and begins anew.
func importSingleFile(dir string, limit int64, log *slog.Logger) error {
	r, err := readSingleFile(dir, log)
	if r == nil || err != nil {
		return err
	}
	entries := r.live()
	if err := importEntries(dir, limit, entries, log); err != nil {
		return fmt.Errorf("journal: take-over: %w", err)
	}
	log.Info("single-file log imported", "messages", len(entries))
	return os.Remove(filepath.Join(dir, singleFileName))
}

func importEntries(dir string, limit int64, entries []*Entry, log *slog.Logger) error {
	os.Remove(filepath.Join(dir, singleFileReplacement)) // half a rewrite: the file itself still holds
	if err := removeSegments(dir); err != nil {
		return err
	}
	// Only what is owed: old and new must fit side by side.
	if err := compactSingleFile(dir, entries); err != nil {
		return err
	}
	info, err := os.Stat(filepath.Join(dir, singleFileName))
	if err != nil {
		return err
	}
	s, err := store.Open(store.Options{
		FS: store.Dir(dir), Budget: limit - info.Size() - diskBlock, Segment: max(limit/16, minImportSegment), Log: log,
	})
	if err != nil {
		return err
	}
	l := &Log{store: s}
	for _, e := range entries {
		l.AddEntry(e)
	}
	err = l.Flush()
	if err == nil {
		err = s.Sync()
	}
	return errors.Join(err, s.Close())
}

// removeSegments removes the files of a store that an import left.
func removeSegments(dir string) error {
	files, err := os.ReadDir(dir)
	for _, f := range files {
		if err == nil && strings.HasSuffix(f.Name(), ".log") {
			err = os.Remove(filepath.Join(dir, f.Name()))
		}
	}
	return err
}

// compactSingleFile writes a single file anew with only what is owed.
func compactSingleFile(dir string, entries []*Entry) error {
	var live []byte
	for _, e := range entries {
		for _, record := range EncodeEntry(nil, e) {
			live = appendFramed(live, record)
		}
	}
	return atomicfile.Write(filepath.Join(dir, singleFileName), live)
}

// readSingleFile replays a single file; nil where there is none.
func readSingleFile(dir string, log *slog.Logger) (*replay, error) {
	data, err := os.ReadFile(filepath.Join(dir, singleFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	r := newReplay(nil)
	if unread := r.applyFramed(data); unread > 0 {
		log.Warn("single-file log damaged or torn, readable records kept", "bytes", len(data), "unread", unread)
	}
	return r, nil
}

// appendFramed appends a record with the single file's frame.
func appendFramed(to, record []byte) []byte {
	to = append(to, singleFileMagic...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(record)))
	to = binary.LittleEndian.AppendUint32(to, crc32.ChecksumIEEE(record))
	return append(to, record...)
}

// applyFramed applies the records that read and returns the number of bytes that don't. A damaged record hides none
// of those after it: reading goes on at the next mark. What it told is not known, so each message open then may have
// had an attempt. A torn tail is no such case: what it tells had not been acted on.
func (r *replay) applyFramed(data []byte) (unread int) {
	damaged := false
	for len(data) > 0 {
		if n := framedSize(data); n > 0 && r.apply(data[singleFileHeaderSize:n]) {
			if damaged {
				for _, e := range r.entries {
					e.assumeUnknownAttempt()
				}
			}
			damaged = false
			data = data[n:]
			continue
		}
		damaged = true
		skip := len(data)
		if i := bytes.Index(data[1:], singleFileMagic); i >= 0 {
			skip = 1 + i
		}
		unread += skip
		data = data[skip:]
	}
	return unread
}

// framedSize returns the length of the framed record that the data starts with, or 0.
func framedSize(data []byte) int {
	if len(data) < singleFileHeaderSize || !bytes.Equal(data[:len(singleFileMagic)], singleFileMagic) {
		return 0
	}
	n := int(binary.LittleEndian.Uint32(data[4:]))
	if n == 0 || n > maxSingleFileRecord || n > len(data)-singleFileHeaderSize {
		return 0
	}
	if crc32.ChecksumIEEE(data[singleFileHeaderSize:singleFileHeaderSize+n]) != binary.LittleEndian.Uint32(data[8:]) {
		return 0
	}
	return singleFileHeaderSize + n
}
