package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// Recovered is the content of the log when it was opened.
type Recovered struct {
	// HardState is zero when none was stored.
	HardState quorum.HardState
	// Base is the index before the first of Entries.
	Base uint64
	// Entries follow Base without a gap.
	Entries []quorum.Entry
	// TruncatedBytes is the length of the torn tail that was cut off.
	TruncatedBytes int
	// Records is the number of records read.
	Records int
	// Segments is the number of segments read.
	Segments int
}

// Last returns the index of the last entry, or Base when there is none.
func (r *Recovered) Last() uint64 { return r.Base + uint64(len(r.Entries)) }

// segment is a file of the log. highestIndex is the highest index it ever held.
type segment struct {
	sequence     uint64
	highestIndex uint64
}

const segmentSuffix = ".segment"

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016d%s", sequence, segmentSuffix)
}

func parseSegmentName(name string) (uint64, bool) {
	digits, found := strings.CutSuffix(name, segmentSuffix)
	if !found {
		return 0, false
	}
	sequence, err := strconv.ParseUint(digits, 10, 64)
	return sequence, err == nil && sequence > 0
}

// recovery reads the segments of a directory in order.
type recovery struct {
	disk      datafolder.FS
	dir       string
	result    Recovered
	segments  []segment
	hasHeader bool
	// tail is the valid content of the last segment.
	tail []byte
}

func (r *recovery) run() error {
	sequences, err := r.list()
	if err != nil {
		return err
	}
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return r.corrupt(sequence, 0, fmt.Sprintf("the previous segment %s is missing", segmentName(sequence-1)))
		}
		if err := r.readSegment(sequence, i == len(sequences)-1); err != nil {
			return err
		}
	}
	r.result.Segments = len(sequences)
	return nil
}

func (r *recovery) list() ([]uint64, error) {
	names, err := r.disk.List(r.dir)
	if err != nil {
		return nil, datafolder.WrapError("list", r.dir, err)
	}
	var sequences []uint64
	for _, name := range names {
		if sequence, ok := parseSegmentName(name); ok {
			sequences = append(sequences, sequence)
		}
	}
	return sequences, nil
}

func (r *recovery) readSegment(sequence uint64, last bool) error {
	file := filepath.Join(r.dir, segmentName(sequence))
	data, err := r.disk.ReadFile(file)
	if err != nil {
		return datafolder.WrapError("read", file, err)
	}
	r.segments = append(r.segments, segment{sequence: sequence})
	offset := 0
	for offset < len(data) {
		f, status := readFrame(data, sequence, offset)
		if status != frameValid {
			return r.endSegment(sequence, data, offset, f, status, last)
		}
		if err := r.applyFrame(sequence, offset, f); err != nil {
			return err
		}
		offset = f.end
	}
	if offset == 0 {
		return r.corrupt(sequence, 0, "the segment is empty")
	}
	r.tail = data
	return nil
}

// endSegment handles an invalid frame: a torn tail is cut off; anything else
// makes recovery fail, because cutting it off could drop an acknowledged entry
// or vote.
func (r *recovery) endSegment(sequence uint64, data []byte, offset int, f frame, status frameStatus, last bool) error {
	switch {
	case offset == 0:
		return r.corrupt(sequence, 0, "the header of the segment is damaged")
	case !last:
		return r.corrupt(sequence, offset, "a record is damaged and later segments follow")
	case validFrameAfter(data, sequence, offset):
		return r.corrupt(sequence, offset, "a record is damaged and valid records follow")
	case status == frameBad && !hasEmptySector(data, offset, f.end):
		return r.corrupt(sequence, offset, "the last record has its full length but its checksum does not match")
	}
	r.result.TruncatedBytes = len(data) - offset
	r.tail = data[:offset]
	return nil
}

func (r *recovery) applyFrame(sequence uint64, offset int, f frame) error {
	if (f.kind == kindHeader) != (offset == 0) {
		return r.corrupt(sequence, offset, "a record of the wrong kind is at this offset")
	}
	if f.kind == kindHeader {
		return r.applyHeader(sequence, f)
	}
	var b batch
	if err := decoder.Unmarshal(f.payload, &b); err != nil {
		return r.corrupt(sequence, offset, "a record has a valid checksum but cannot be decoded: "+err.Error())
	}
	r.result.Records++
	return r.applyBatch(sequence, offset, &b)
}

func (r *recovery) applyHeader(sequence uint64, f frame) error {
	var h segmentHeader
	if err := decoder.Unmarshal(f.payload, &h); err != nil {
		return r.corrupt(sequence, 0, "the header of the segment cannot be decoded: "+err.Error())
	}
	if h.Sequence != sequence {
		return r.corrupt(sequence, 0, fmt.Sprintf("the header has sequence %d", h.Sequence))
	}
	if r.hasHeader && h.Last != r.result.Last() {
		return r.corrupt(sequence, 0, fmt.Sprintf("the segment continues after index %d, but the previous one ends at %d", h.Last, r.result.Last()))
	}
	if !r.hasHeader {
		r.result.Base = h.Last
		r.result.HardState = h.Hard
		r.hasHeader = true
	}
	return nil
}

func (r *recovery) applyBatch(sequence uint64, offset int, b *batch) error {
	if b.Hard != nil {
		if b.Hard.Term < r.result.HardState.Term {
			return r.corrupt(sequence, offset, fmt.Sprintf("term %d follows term %d", b.Hard.Term, r.result.HardState.Term))
		}
		r.result.HardState = *b.Hard
	}
	if b.ResetTo != nil {
		r.result.Base = *b.ResetTo
		r.result.Entries = nil
	}
	for i := range b.Entries {
		if !r.applyEntry(&b.Entries[i]) {
			return r.corrupt(sequence, offset, fmt.Sprintf("entry %d follows entry %d", b.Entries[i].Index, r.result.Last()))
		}
	}
	return nil
}

// applyEntry appends an entry, which may overwrite a suffix. The suffix may
// reach back to before Base: the overwritten entries were in a segment that was
// removed since.
func (r *recovery) applyEntry(e *quorum.Entry) bool {
	if e.Index == 0 || e.Index > r.result.Last()+1 {
		return false
	}
	if e.Index <= r.result.Base {
		r.result.Base = e.Index - 1
		r.result.Entries = nil
	}
	r.result.Entries = append(r.result.Entries[:e.Index-r.result.Base-1], *e)
	current := &r.segments[len(r.segments)-1]
	current.highestIndex = max(current.highestIndex, e.Index)
	return true
}

func (r *recovery) corrupt(sequence uint64, offset int, reason string) error {
	return &CorruptError{
		File:   filepath.Join(r.dir, segmentName(sequence)),
		Offset: int64(offset),
		Reason: reason,
		Hint:   datafolder.HintRejoin,
	}
}
