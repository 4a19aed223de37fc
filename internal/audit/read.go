package audit

import (
	"errors"
	"io/fs"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// scan walks the records of files in order and checks the chain on the way.
type scan struct {
	chain  link
	breaks []Break
	// keep says whether to go on after a record.
	keep func(model.AuditRecord) bool
}

func (s *scan) report(b Break) {
	if len(s.breaks) < maxBreaks {
		s.breaks = append(s.breaks, b)
	}
}

func (s *scan) files(files []file) error {
	for _, f := range files {
		more := true
		s.chain.expect = f.first // which the name of the file says
		err := f.visit(func(r model.AuditRecord, line int) bool {
			if b := s.chain.follow(r, f.name(), line); b != nil {
				s.report(*b)
			}
			more = s.keep(r)
			return more
		}, s.report)
		// A file that was dropped since the list was made is no longer of interest.
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if !more {
			return nil
		}
	}
	return nil
}

// Verify checks the chain of all files and returns its breaks, at most 64.
func (t *Trail) Verify() ([]Break, error) {
	s := scan{keep: func(model.AuditRecord) bool { return true }}
	err := s.files(t.snapshotFiles())
	t.broken.Inc(int64(len(s.breaks)))
	return s.breaks, err
}

// Read returns at most limit records from the sequence on, and checks the
// chain from the start of the file that holds it.
func (t *Trail) Read(from uint64, limit int) (Page, error) {
	limit = min(max(limit, 1), MaxRead)
	page := Page{Next: from}
	s := scan{keep: func(r model.AuditRecord) bool {
		if r.Sequence >= from {
			page.Records = append(page.Records, r)
			page.Next = r.Sequence + 1
		}
		return len(page.Records) < limit
	}}
	files := t.snapshotFiles()
	err := s.files(files[startAt(files, from):])
	page.Breaks = s.breaks
	return page, err
}

// startAt returns the file that holds the sequence, by the first of each.
func startAt(files []file, from uint64) int {
	start := 0
	for i, f := range files {
		if f.first <= from {
			start = i
		}
	}
	return start
}
