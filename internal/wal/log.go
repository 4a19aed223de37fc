package wal

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// CorruptError names the damaged file, the offset, the cause and the remedy.
type CorruptError = datafolder.CorruptError

// ErrClosed is returned after the log was closed.
var ErrClosed = errors.New("wal: closed")

const defaultSegmentBytes = 8 << 20

// Options configures a log.
type Options struct {
	// Disk is the file system; nil selects that of the operating system.
	Disk datafolder.FS
	// SegmentBytes is the segment size from which a new segment is started; 0
	// selects 8 MiB.
	SegmentBytes int
	// MayCreate allows Open to create a log in an empty directory. Without it an
	// empty directory is an error: the log existed before and is lost.
	MayCreate bool
}

// Log is an open log. It must not be used concurrently.
type Log struct {
	disk         datafolder.FS
	dir          string
	segmentBytes int

	file     datafolder.File
	size     int64 // of the current segment, in bytes
	segments []segment
	hard     quorum.HardState
	last     uint64 // index of the last durable entry
	syncs    uint64
	buffer   bytes.Buffer
	failed   error // the first failure, or ErrClosed
}

// Open reads the log in dir and makes durable what it read. Errors are
// *CorruptError and *datafolder.StorageError.
func Open(dir string, o Options) (*Log, Recovered, error) {
	if o.Disk == nil {
		o.Disk = datafolder.Disk{}
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if err := prepare(o.Disk, dir); err != nil {
		return nil, Recovered{}, err
	}
	r := recovery{disk: o.Disk, dir: dir}
	if err := r.run(); err != nil {
		return nil, Recovered{}, err
	}
	if len(r.segments) == 0 && !o.MayCreate {
		return nil, Recovered{}, &CorruptError{File: dir,
			Reason: "the log is missing, although this disk took part in the quorum", Hint: datafolder.HintRejoin}
	}
	l := &Log{disk: o.Disk, dir: dir, segmentBytes: o.SegmentBytes,
		segments: r.segments, hard: r.result.HardState, last: r.result.Last()}
	if err := l.rewriteLastSegment(r.tail); err != nil {
		return nil, Recovered{}, err
	}
	return l, r.result, nil
}

func prepare(disk datafolder.FS, dir string) error {
	if err := disk.MkdirAll(dir); err != nil {
		return datafolder.WrapError("make folder", dir, err)
	}
	parent := filepath.Dir(dir)
	if err := disk.SyncDir(parent); err != nil {
		return datafolder.WrapError("sync", parent, err)
	}
	return datafolder.RemoveTemporary(disk, dir)
}

// rewriteLastSegment rewrites the valid content of the last segment, or creates
// the first segment. Rewriting cuts off a torn tail and makes durable what may
// have been read from the page cache only.
func (l *Log) rewriteLastSegment(tail []byte) error {
	if len(l.segments) == 0 {
		return l.newSegment(1)
	}
	return l.replaceSegment(l.segments[len(l.segments)-1].sequence, tail)
}

func (l *Log) newSegment(sequence uint64) error {
	header := segmentHeader{Sequence: sequence, Hard: l.hard, Last: l.last}
	data, err := l.encode(kindHeader, header, sequence, 0)
	if err != nil {
		return err
	}
	if err := l.replaceSegment(sequence, data); err != nil {
		return err
	}
	l.segments = append(l.segments, segment{sequence: sequence})
	return nil
}

func (l *Log) replaceSegment(sequence uint64, data []byte) error {
	file, err := datafolder.ReplaceOpen(l.disk, l.path(sequence), data)
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close() // it is already synced
	}
	l.file = file
	l.size = int64(len(data))
	return nil
}

// Append makes hard state and entries durable with one sync. An entry whose
// index exists already replaces that entry and all that follow. After an error
// the log accepts nothing more, and the process must end.
func (l *Log) Append(hard *quorum.HardState, entries []quorum.Entry) error {
	return l.store(&batch{Hard: hard, Entries: entries})
}

// Reset drops all entries and lets the log continue after index, which a
// durable snapshot covers.
func (l *Log) Reset(hard *quorum.HardState, index uint64) error {
	return l.store(&batch{Hard: hard, ResetTo: &index})
}

func (l *Log) store(b *batch) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.check(b); err != nil {
		return err
	}
	if err := l.startSegmentIfFull(); err != nil {
		return l.fail(err)
	}
	if err := l.write(b); err != nil {
		return l.fail(err)
	}
	l.updateState(b)
	return nil
}

// check rejects what recovery would reject, before it is written.
func (l *Log) check(b *batch) error {
	if b.Hard != nil && b.Hard.Term < l.hard.Term {
		return fmt.Errorf("wal: term %d after term %d", b.Hard.Term, l.hard.Term)
	}
	last := l.last
	for i := range b.Entries {
		if index := b.Entries[i].Index; index == 0 || index > last+1 {
			return fmt.Errorf("wal: entry %d after entry %d", index, last)
		}
		last = b.Entries[i].Index
	}
	return nil
}

// startSegmentIfFull starts a new segment when the current one is full.
func (l *Log) startSegmentIfFull() error {
	if l.size < int64(l.segmentBytes) {
		return nil
	}
	return l.newSegment(l.current().sequence + 1)
}

func (l *Log) write(b *batch) error {
	name := l.path(l.current().sequence)
	data, err := l.encode(kindBatch, b, l.current().sequence, l.size)
	if err != nil {
		return err
	}
	if _, err := l.file.Write(data); err != nil {
		return datafolder.WrapError("write", name, err)
	}
	if err := l.file.Sync(); err != nil {
		return datafolder.WrapError("sync", name, err)
	}
	l.size += int64(len(data))
	l.syncs++
	return nil
}

// encode returns a complete frame that is valid until the next call.
func (l *Log) encode(kind recordKind, v any, sequence uint64, offset int64) ([]byte, error) {
	l.buffer.Reset()
	l.buffer.Write(make([]byte, headerSize))
	if err := encoder.MarshalToBuffer(v, &l.buffer); err != nil {
		return nil, fmt.Errorf("wal: encode: %w", err)
	}
	data := l.buffer.Bytes()
	if len(data)-headerSize > maxPayload {
		return nil, fmt.Errorf("wal: a record of %d bytes is above the limit of %d", len(data)-headerSize, maxPayload)
	}
	writeFrameHeader(data, kind, sequence, offset)
	return data, nil
}

// updateState records that a batch is durable.
func (l *Log) updateState(b *batch) {
	if b.Hard != nil {
		l.hard = *b.Hard
	}
	if b.ResetTo != nil {
		l.last = *b.ResetTo
	}
	if n := len(b.Entries); n > 0 {
		l.last = b.Entries[n-1].Index
		current := l.current()
		current.highestIndex = max(current.highestIndex, l.last)
	}
}

// fail makes the log permanently failed. It is unknown which bytes of the
// failed write are durable, and a second sync may report success without having
// stored them.
func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

// Compact removes the oldest segments that hold no entry with index before or
// later. A durable snapshot must cover all entries below before. Each removal
// is synced before the next, so that a crash leaves no gap.
func (l *Log) Compact(before uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.segments) > 1 && l.segments[0].highestIndex < before {
		if err := l.removeOldest(); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

func (l *Log) removeOldest() error {
	name := l.path(l.segments[0].sequence)
	if err := l.disk.Remove(name); err != nil {
		return datafolder.WrapError("remove", name, err)
	}
	if err := l.disk.SyncDir(l.dir); err != nil {
		return datafolder.WrapError("sync", l.dir, err)
	}
	l.segments = l.segments[1:]
	return nil
}

// Close closes the log; everything appended is already durable.
func (l *Log) Close() error {
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	l.failed = ErrClosed
	return l.file.Close()
}

// Last returns the index of the last durable entry.
func (l *Log) Last() uint64 { return l.last }

// HardState returns the last durable hard state.
func (l *Log) HardState() quorum.HardState { return l.hard }

// Syncs returns the number of records that were written and synced.
func (l *Log) Syncs() uint64 { return l.syncs }

// Segments returns the number of segments on disk.
func (l *Log) Segments() int { return len(l.segments) }

func (l *Log) current() *segment { return &l.segments[len(l.segments)-1] }

func (l *Log) path(sequence uint64) string { return filepath.Join(l.dir, segmentName(sequence)) }
