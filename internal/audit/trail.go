package audit

import (
	"os"
	"path/filepath"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// DefaultMaxFileBytes is the size, in bytes, at which a new file is started.
	DefaultMaxFileBytes = 4 << 20
	// DefaultMaxFiles is the number of files to keep; older ones are deleted.
	DefaultMaxFiles = 16
	// MaxRead is the maximum number of records of a Page.
	MaxRead = 1_000
	// maxViolations is the maximum number of violations that a read returns.
	maxViolations = 64
)

// Options configures a Trail. Zero values select the defaults.
type Options struct {
	MaxFileBytes int64
	MaxFiles     int
	// Registry receives the counters "audit.records" and "audit.breaks".
	Registry metrics.Registry
}

// Trail is the audit trail in the files of one folder. It is safe for
// concurrent use.
type Trail struct {
	dir        string
	options    Options
	records    metrics.Counter
	violations metrics.Counter

	mu    sync.Mutex
	files []file
	// newest is the newest file, open for appending; nil before the first record.
	newest     *os.File
	newestSize int64
	end        chainEnd
}

// Open opens the trail in the folder dir, which it creates when missing, and
// truncates a torn last line. Call Verify to check the chain of all files.
func Open(dir string, o Options) (*Trail, error) {
	if o.MaxFileBytes <= 0 {
		o.MaxFileBytes = DefaultMaxFileBytes
	}
	if o.MaxFiles <= 0 {
		o.MaxFiles = DefaultMaxFiles
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, oops.In("audit").With("folder", dir).Wrapf(err, "create")
	}
	// A new folder is durable only once its parent is synced.
	if err := syncFolder(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	t := &Trail{
		dir:        dir,
		options:    o,
		records:    metrics.GetOrRegisterCounter("audit.records", o.Registry),
		violations: metrics.GetOrRegisterCounter("audit.breaks", o.Registry),
	}
	files, err := listFiles(dir)
	if err != nil || len(files) == 0 {
		return t, err
	}
	t.files = files
	return t, t.resume()
}

// resume opens the newest file and finds the end of the chain.
func (t *Trail) resume() error {
	newest := t.files[len(t.files)-1]
	if err := truncateTornLine(newest.path); err != nil {
		return err
	}
	// An empty newest file lost its records in a crash before the sync. The end of
	// the chain is then in the file before it.
	for i := len(t.files) - 1; i >= 0 && !t.end.started; i-- {
		err := t.files[i].forEachRecord(func(r model.AuditRecord, _ int) bool {
			t.end = chainEnd{sequence: r.Sequence, digest: r.Digest, started: true}
			return true
		}, func(Violation) {})
		if err != nil {
			return err
		}
	}
	return t.openForAppend(newest)
}

func (t *Trail) openForAppend(f file) error {
	out, err := os.OpenFile(f.path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return oops.In("audit").With("file", f.path).Wrapf(err, "open")
	}
	info, err := out.Stat()
	if err != nil {
		return oops.In("audit").With("file", f.path).Wrapf(err, "stat")
	}
	t.newest = out
	t.newestSize = info.Size()
	return nil
}

// Last returns the sequence of the newest record, 0 when there is none.
func (t *Trail) Last() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end.sequence
}

// Append adds records and returns once they are durable. Records that the trail
// already has are skipped. A record that does not continue the chain is stored
// nevertheless and returned as a Violation: the state, not the file, is
// authoritative.
func (t *Trail) Append(records []model.AuditRecord) ([]Violation, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var violations []Violation
	var lines []byte
	var firstSequence uint64
	for _, r := range records {
		if r.Sequence <= t.end.sequence {
			continue
		}
		if v := t.end.advance(r, "", 0); v != nil {
			violations = append(violations, *v)
		}
		line, err := encodeLine(r)
		if err != nil {
			return violations, oops.In("audit").Wrapf(err, "encode")
		}
		if firstSequence == 0 {
			firstSequence = r.Sequence
		}
		lines = append(lines, line...)
		t.records.Inc(1)
	}
	t.violations.Inc(int64(len(violations)))
	if len(lines) == 0 {
		return violations, nil
	}
	return violations, t.write(firstSequence, lines)
}

// write appends lines to the newest file, or to a new one when that is full.
func (t *Trail) write(firstSequence uint64, lines []byte) error {
	if t.newest == nil || t.newestSize >= t.options.MaxFileBytes {
		if err := t.rotate(firstSequence); err != nil {
			return err
		}
	}
	written, err := t.newest.Write(lines)
	t.newestSize += int64(written)
	if err != nil {
		return oops.In("audit").With("folder", t.dir).Wrapf(err, "append")
	}
	return oops.In("audit").With("folder", t.dir).Wrapf(t.newest.Sync(), "sync")
}

// rotate starts a new file and deletes the oldest files beyond the limit.
func (t *Trail) rotate(firstSequence uint64) error {
	if t.newest != nil {
		if err := t.newest.Close(); err != nil {
			return oops.In("audit").With("folder", t.dir).Wrapf(err, "close")
		}
	}
	next := fileStartingAt(t.dir, firstSequence)
	if err := t.openForAppend(next); err != nil {
		return err
	}
	t.files = append(t.files, next)
	for len(t.files) > t.options.MaxFiles {
		if err := os.Remove(t.files[0].path); err != nil {
			return oops.In("audit").With("file", t.files[0].path).Wrapf(err, "drop")
		}
		t.files = t.files[1:]
	}
	return syncFolder(t.dir)
}

// Close closes the newest file.
func (t *Trail) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest == nil {
		return nil
	}
	err := t.newest.Close()
	t.newest = nil
	return oops.In("audit").With("folder", t.dir).Wrapf(err, "close")
}

// snapshotFiles returns a copy of the list of files.
func (t *Trail) snapshotFiles() []file {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]file(nil), t.files...)
}
