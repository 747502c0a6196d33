package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
)

// Backup copies the segments of a folder into a folder without segments, in bounded memory, and returns the number of
// bytes copied. The source may be in use. The copy holds all records that were in the source when Backup was called, of
// entities that have not ended, and lacks no segment that the source has.
func Backup(from, to FS) (int64, error) {
	if names, err := listSegments(to); err != nil || len(names) > 0 {
		return 0, errors.Join(err, errors.New("store: target folder must not contain segments"))
	}
	b := &backup{from: from, to: to}
	for {
		more, err := b.copyNext()
		if err != nil || !more {
			return b.total, errors.Join(err, to.SyncDir())
		}
	}
}

// A backup copies the segments of a store from the oldest to the newest, while the store may be in use: its newest segment
// grows, new ones are started, and compaction moves live records to the newest segment and then removes the oldest.
//
// Once a segment is removed, all older ones are, too, and their live records are in newer segments, which the backup has
// yet to copy. The copies of the older ones are then dropped: what compaction removed may have ended their entities.
type backup struct {
	from, to FS
	copied   []copiedSegment // in ascending order
	total    int64           // bytes copied
}

// A copiedSegment is a segment in the target folder.
type copiedSegment struct {
	name   string
	number uint64
	size   int64
}

// copyNext copies the oldest segment that is newer than the copied ones. It returns false if there is none.
func (b *backup) copyNext() (more bool, err error) {
	names, err := listSegments(b.from)
	if err != nil {
		return false, err
	}
	next := slices.IndexFunc(names, func(name string) bool { return len(b.copied) == 0 || name > b.newest().name })
	if next < 0 {
		return false, nil
	}
	segment := copiedSegment{name: names[next]}
	if _, err := fmt.Sscanf(segment.name, "%016x.log", &segment.number); err != nil {
		return false, fmt.Errorf("store: %s is not a valid segment file name: move the file elsewhere", segment.name)
	}
	if len(b.copied) > 0 {
		if err := b.completeNewest(); err != nil {
			return false, err
		}
	}
	if segment.size, err = b.copyFrom(segment.name, 0); errors.Is(err, errSegmentRemoved) {
		return true, b.dropCopied()
	}
	b.copied = append(b.copied, segment)
	return true, err
}

// newest returns the copied segment with the highest number.
func (b *backup) newest() *copiedSegment { return &b.copied[len(b.copied)-1] }

// completeNewest copies what was appended to the newest copied segment since it was copied, now that a newer one exists and
// it does not grow any more. If it was removed, compaction has removed all older ones, too.
func (b *backup) completeNewest() error {
	newest := b.newest()
	size, err := b.copyFrom(newest.name, newest.size)
	if errors.Is(err, errSegmentRemoved) {
		return b.dropCopied()
	}
	newest.size = size
	return err
}

// dropCopied removes all copied segments.
func (b *backup) dropCopied() error {
	for len(b.copied) > 0 {
		if err := b.to.Remove(b.newest().name); err != nil {
			return fmt.Errorf("store: %w", err)
		}
		b.copied = b.copied[:len(b.copied)-1]
	}
	return nil
}

// errSegmentRemoved is returned for a segment that is not in the source any more.
var errSegmentRemoved = errors.New("store: segment was removed")

// copyFrom copies the content of a segment file from an offset on, and returns the size of the copy. The error is
// errSegmentRemoved if the segment was removed.
func (b *backup) copyFrom(name string, offset int64) (int64, error) {
	source, err := b.from.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return offset, errSegmentRemoved
	}
	if err != nil {
		return offset, fmt.Errorf("store: %w", err)
	}
	defer source.Close()
	size, err := b.from.Size(name)
	if errors.Is(err, fs.ErrNotExist) {
		return offset, errSegmentRemoved
	}
	if err != nil {
		return offset, fmt.Errorf("store: %w", err)
	}
	if offset > 0 && size <= offset {
		return offset, nil
	}
	target, err := b.openTarget(name, offset)
	if err != nil {
		return offset, fmt.Errorf("store: %s: %w", name, err)
	}
	defer target.Close()
	end, err := copyRange(target, source, offset, size)
	b.total += end - offset
	if err == nil {
		err = target.Sync()
	}
	if err != nil {
		return end, fmt.Errorf("store: %s: %w", name, err)
	}
	return end, nil
}

// openTarget creates a file in the target folder, or opens it if it has content already.
func (b *backup) openTarget(name string, offset int64) (File, error) {
	if offset == 0 {
		return b.to.Create(name)
	}
	return b.to.Open(name)
}

// copyRange copies the bytes from one offset to another and returns the offset of the first byte that was not copied.
func copyRange(to, from File, at, end int64) (int64, error) {
	buffer := make([]byte, 64<<10)
	for at < end {
		n, err := from.ReadAt(buffer[:min(int64(len(buffer)), end-at)], at)
		if n == 0 && err != nil {
			return at, err
		}
		if err := writeAll(to, buffer[:n], at); err != nil {
			return at, err
		}
		at += int64(n)
	}
	return at, nil
}
