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

// The log of older programs, from before the store, is a single file of framed records. A frame consists of a magic
// number, the length and the checksum of the payload, and the payload. Those programs compacted the file by writing a
// replacement and renaming it. This program reads such a file only to import it once.
const (
	singleFileName        = "journal"
	singleFileReplacement = "journal.new"
	singleFileHeaderSize  = 12
	maxSingleFileRecord   = 64<<10 + 4096 // maximum payload in bytes: a body and the other fields
	minImportSegment      = 16 << 10      // minimum segment size in bytes of the store that an import creates
)

var singleFileMagic = []byte{0xc1, 0xea, 0x7d, 0x01}

// importSingleFile converts a single-file log into a store. It removes the file only after all of its records are in
// the store. If the folder has both a single file and a store, an earlier import was interrupted; the store is then
// deleted and the import starts over.
func importSingleFile(dir string, limit int64, log *slog.Logger) error {
	r, err := readSingleFile(dir, log)
	if r == nil || err != nil {
		return err
	}
	entries := r.live()
	if err := importEntries(dir, limit, entries, log); err != nil {
		return fmt.Errorf("write-ahead log: import single-file log: %w", err)
	}
	log.Info("single-file log imported", "messages", len(entries))
	return os.Remove(filepath.Join(dir, singleFileName))
}

func importEntries(dir string, limit int64, entries []*Entry, log *slog.Logger) error {
	os.Remove(filepath.Join(dir, singleFileReplacement)) // an interrupted rewrite; the file itself is still valid
	if err := removeSegments(dir); err != nil {
		return err
	}
	// Keep only live messages: the file and the store must fit into the limit together.
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

// removeSegments removes the segment files that an interrupted import left behind.
func removeSegments(dir string) error {
	files, err := os.ReadDir(dir)
	for _, f := range files {
		if err == nil && strings.HasSuffix(f.Name(), ".log") {
			err = os.Remove(filepath.Join(dir, f.Name()))
		}
	}
	return err
}

// compactSingleFile rewrites a single-file log with the records of the given entries only.
func compactSingleFile(dir string, entries []*Entry) error {
	var live []byte
	for _, e := range entries {
		for _, record := range EncodeEntry(nil, e) {
			live = appendFramed(live, record)
		}
	}
	return atomicfile.Write(filepath.Join(dir, singleFileName), live)
}

// readSingleFile replays a single-file log. It returns nil if the folder has none.
func readSingleFile(dir string, log *slog.Logger) (*replay, error) {
	data, err := os.ReadFile(filepath.Join(dir, singleFileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("write-ahead log: %w", err)
	}
	r := newReplay(nil)
	if unread := r.applyFramed(data); unread > 0 {
		log.Warn("single-file log is damaged or truncated; keeping the readable records",
			"bytes", len(data), "unread", unread)
	}
	return r, nil
}

// appendFramed appends a record in the frame of the single-file format.
func appendFramed(buf, record []byte) []byte {
	buf = append(buf, singleFileMagic...)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.ChecksumIEEE(record))
	return append(buf, record...)
}

// applyFramed applies all readable records and returns the number of bytes that it could not read. After a damaged
// record it continues at the next magic number. As the damaged record may have been that of an attempt, each message
// that was open at that point is assumed to have had one. A truncated record at the end of the file needs no such
// assumption, as the program acted on a record only after writing it.
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

// framedSize returns the size in bytes of the frame at the start of data, or 0 if there is no valid one.
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
