package state

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

	"cleathold/internal/store"
)

// The journal of programs from before the store: one file of records, each a mark, the
// length and checksum of its payload, and the payload, that was rewritten whole under
// another name and renamed. It is read and taken over once.
const (
	legacyFile        = "journal"
	legacyRewriteFile = "journal.new"
	legacyHeaderSize  = 12
)

var legacyMark = []byte{0xc1, 0xea, 0x7d, 0x01}

// importLegacy makes a store of an old file. The file counts until all of it is in the
// store, and is removed then: a store that is found beside it is a take-over that was
// broken off, and begins anew.
func importLegacy(dir string, limit int64, log *slog.Logger) error {
	t, err := readLegacy(dir, log)
	if t == nil || err != nil {
		return err
	}
	os.Remove(filepath.Join(dir, legacyRewriteFile)) // half a rewrite: the old file still holds
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		if err == nil && strings.HasSuffix(e.Name(), ".log") {
			err = os.Remove(filepath.Join(dir, e.Name()))
		}
	}
	if err == nil {
		// Only what is owed: old and new must fit side by side.
		err = compactLegacy(dir, t)
	}
	if err != nil {
		return fmt.Errorf("journal: take-over: %w", err)
	}
	info, err := os.Stat(filepath.Join(dir, legacyFile))
	if err != nil {
		return fmt.Errorf("journal: take-over: %w", err)
	}
	s, err := store.Open(store.Options{FS: store.Dir(dir), Budget: limit - info.Size() - diskBlock, Segment: max(limit/16, 16<<10), Log: log})
	if err != nil {
		return fmt.Errorf("journal: take-over: %w", err)
	}
	j := &writeAheadLog{store: s}
	for _, e := range t.ordered() {
		j.addEntry(e)
	}
	err = j.flush()
	if err == nil {
		err = s.Sync()
	}
	if err = errors.Join(err, s.Close()); err != nil {
		return fmt.Errorf("journal: take-over: %w", err)
	}
	log.Info("journal of an older program taken over", "messages", len(t.entries))
	return os.Remove(filepath.Join(dir, legacyFile))
}

// compactLegacy writes an old file anew with only what is owed.
func compactLegacy(dir string, t *table) error {
	var live []byte
	for _, e := range t.ordered() {
		for _, p := range entryRecords(nil, e) {
			live = appendLegacyRecord(live, p)
		}
	}
	name := filepath.Join(dir, legacyRewriteFile)
	err := os.WriteFile(name, live, 0o600)
	if err == nil {
		err = os.Rename(name, filepath.Join(dir, legacyFile))
	}
	if err != nil {
		os.Remove(name) // a file half written must not count against the limit
	}
	return err
}

// readLegacy reads an old file; no table where there is none.
func readLegacy(dir string, log *slog.Logger) (*table, error) {
	data, err := os.ReadFile(filepath.Join(dir, legacyFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	t := newTable()
	if bad := replayLegacy(data, t); bad > 0 {
		log.Warn("journal damaged or torn; kept what reads", "bytes", len(data), "unread", bad)
	}
	return t, nil
}

// appendLegacyRecord frames a payload.
func appendLegacyRecord(to, payload []byte) []byte {
	to = append(to, legacyMark...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(payload)))
	to = binary.LittleEndian.AppendUint32(to, crc32.ChecksumIEEE(payload))
	return append(to, payload...)
}

// replayLegacy applies the records that read and returns the bytes that don't. A
// damaged record hides none of those after it: reading goes on at the next mark.
// What it told is not known, so each message open then may have had a forward.
// A torn tail is no such case: what it tells had not been acted on.
func replayLegacy(data []byte, t *table) (unread int) {
	damaged := false
	for len(data) > 0 {
		if n := legacyRecordSize(data); n > 0 && applyRecord(data[legacyHeaderSize:n], t) {
			if damaged {
				for _, e := range t.entries {
					assumeRun(e)
				}
			}
			damaged = false
			data = data[n:]
			continue
		}
		damaged = true
		skip := len(data)
		if i := bytes.Index(data[1:], legacyMark); i >= 0 {
			skip = 1 + i
		}
		unread += skip
		data = data[skip:]
	}
	return unread
}

// legacyRecordSize returns the length of the record that the data starts with, or 0.
func legacyRecordSize(data []byte) int {
	if len(data) < legacyHeaderSize || !bytes.Equal(data[:len(legacyMark)], legacyMark) {
		return 0
	}
	n := int(binary.LittleEndian.Uint32(data[4:]))
	if n == 0 || n > maxRecordBytes || n > len(data)-legacyHeaderSize {
		return 0
	}
	if crc32.ChecksumIEEE(data[legacyHeaderSize:legacyHeaderSize+n]) != binary.LittleEndian.Uint32(data[8:]) {
		return 0
	}
	return legacyHeaderSize + n
}
