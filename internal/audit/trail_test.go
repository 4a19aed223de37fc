package audit

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// makeChain returns n chained records, built as the state builds them.
func makeChain(n int) []model.AuditRecord {
	records := make([]model.AuditRecord, n)
	before := ""
	for i := range records {
		r := model.AuditRecord{Sequence: uint64(i + 1), Actor: "pipeline <a>", Action: "apply-manifest", After: fmt.Sprint("revision ", i)}
		r.Digest = state.ChainDigest(before, r)
		before = r.Digest
		records[i] = r
	}
	return records
}

func openTrail(t *testing.T, dir string, o Options) *Trail {
	t.Helper()
	trail, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = trail.Close() })
	return trail
}

func TestTrailRotatesAndResumes(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	records := makeChain(60)
	trail := openTrail(t, dir, Options{MaxFileBytes: 1000, MaxFiles: 4})
	for _, r := range records[:40] {
		violations, err := trail.Append([]model.AuditRecord{r})
		is.NoErr(err)
		is.Equal(violations, nil)
	}
	is.NoErr(trail.Close())

	trail = openTrail(t, dir, Options{MaxFileBytes: 1000, MaxFiles: 4})
	is.Equal(trail.Last(), uint64(40))
	violations, err := trail.Append(records[30:]) // 31 to 40 are appended a second time
	is.NoErr(err)
	is.Equal(violations, nil)
	violations, err = trail.Verify()
	is.NoErr(err)
	is.Equal(violations, nil)
	files, err := listFiles(dir)
	is.NoErr(err)
	is.Equal(len(files), 4) // the oldest were deleted

	page, err := trail.Read(55, 3)
	is.NoErr(err)
	is.Equal(page.Records, records[54:57])
	is.Equal(page.Next, uint64(58))
}

// Changes, removes or damages a line of a file and opens the trail again. Without
// a digest that binds each record to the previous one, this would go unnoticed.
func TestTamperingIsDetected(t *testing.T) {
	cases := []struct {
		name   string
		tamper func(lines []string) []string
		kind   ViolationKind
		at     uint64
	}{
		{"edit", func(l []string) []string { l[4] = strings.Replace(l[4], "revision", "Revision", 1); return l }, Edit, 5},
		{"gap", func(l []string) []string { return append(l[:4], l[5:]...) }, Gap, 6},
		{"first", func(l []string) []string { return l[1:] }, Gap, 2},
		{"swap", func(l []string) []string { l[4], l[5] = l[5], l[4]; return l }, Gap, 6},
		{"noise", func(l []string) []string { l[4] = "{"; return l }, Unreadable, 0},
		{"member", func(l []string) []string { l[4] = strings.Replace(l[4], "{", `{"note":1,`, 1); return l }, Unreadable, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			trail := openTrail(t, dir, Options{})
			_, err := trail.Append(makeChain(10))
			is.NoErr(err)
			is.NoErr(trail.Close())
			path := fileStartingAt(dir, 1).path
			text, err := os.ReadFile(path)
			is.NoErr(err)
			lines := c.tamper(strings.Split(strings.TrimSuffix(string(text), "\n"), "\n"))
			is.NoErr(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))

			trail = openTrail(t, dir, Options{})
			violations, err := trail.Verify()
			is.NoErr(err)
			is.True(len(violations) > 0)
			is.Equal(violations[0].Kind, c.kind)
			is.Equal(violations[0].Sequence, c.at)
			page, err := trail.Read(1, 100)
			is.NoErr(err)
			is.Equal(page.Violations, violations) // Read reports them as well
		})
	}
}

// The process ends during an append and leaves a torn last line. The trail must
// still accept its next record, and lose none.
func TestTornLineIsTruncated(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	records := makeChain(3)
	trail := openTrail(t, dir, Options{})
	_, err := trail.Append(records)
	is.NoErr(err)
	is.NoErr(trail.Close())
	path := filepath.Join(dir, fileStartingAt(dir, 1).name())
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, text[:len(text)-7], 0o600))

	trail = openTrail(t, dir, Options{})
	is.Equal(trail.Last(), uint64(2))
	violations, err := trail.Append(records)
	is.NoErr(err)
	is.Equal(violations, nil)
	page, err := trail.Read(0, 10)
	is.NoErr(err)
	is.Equal(page.Records, records)
}
