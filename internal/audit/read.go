package audit

import (
	"errors"
	"io/fs"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// scanner reads the records of files in order and checks the chain.
type scanner struct {
	chain      chainEnd
	violations []Violation
	// onRecord handles a record and reports whether to continue.
	onRecord func(model.AuditRecord) bool
}

func (s *scanner) addViolation(v Violation) {
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, v)
	}
}

func (s *scanner) scanFiles(files []file) error {
	for _, f := range files {
		more := true
		s.chain.firstSequence = f.firstSequence // from the file name
		err := f.forEachRecord(func(r model.AuditRecord, line int) bool {
			if v := s.chain.advance(r, f.name(), line); v != nil {
				s.addViolation(*v)
			}
			more = s.onRecord(r)
			return more
		}, s.addViolation)
		// A file that was deleted by a rotation since the list was made is skipped.
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		if !more {
			return nil
		}
	}
	return nil
}

// Verify checks the chain across all files and returns its violations, at most 64.
func (t *Trail) Verify() ([]Violation, error) {
	s := scanner{onRecord: func(model.AuditRecord) bool { return true }}
	err := s.scanFiles(t.snapshotFiles())
	t.violations.Inc(int64(len(s.violations)))
	return s.violations, err
}

// Read returns at most limit records, starting at sequence from. It checks the
// chain from the start of the file that holds that sequence.
func (t *Trail) Read(from uint64, limit int) (Page, error) {
	limit = min(max(limit, 1), MaxRead)
	page := Page{Next: from}
	s := scanner{onRecord: func(r model.AuditRecord) bool {
		if r.Sequence >= from {
			page.Records = append(page.Records, r)
			page.Next = r.Sequence + 1
		}
		return len(page.Records) < limit
	}}
	files := t.snapshotFiles()
	err := s.scanFiles(files[startIndex(files, from):])
	page.Violations = s.violations
	return page, err
}

// startIndex returns the index of the file that holds the sequence from, by the
// first sequence of each file.
func startIndex(files []file, from uint64) int {
	start := 0
	for i, f := range files {
		if f.firstSequence <= from {
			start = i
		}
	}
	return start
}
