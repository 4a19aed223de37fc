package workload

import (
	"testing"

	"github.com/matryer/is"
)

// footprint returns the sum that is kept, and the one of all jobs.
func (l *log) footprint() (kept, counted int64) {
	l.Read(func(t *Tables) {
		kept = t.Footprint()
		for _, job := range t.Jobs {
			counted += job.footprint()
		}
	})
	return kept, counted
}

// The sum by which jobs are refused must be that of the jobs that are held, or a site
// refuses jobs for ever, or accepts them beyond its memory.
func TestFootprintIsThatOfTheJobs(t *testing.T) {
	is := is.New(t)
	l := newLog()
	check := func(atLeast int64) {
		kept, counted := l.footprint()
		is.Equal(kept, counted)
		is.True(kept >= atLeast)
	}
	check(0)
	l.submit("j", step(2), step(1, 0))
	l.submit("j", step(2), step(1, 0)) // a resend
	l.submit("cancelled", step(1000))
	check(1000 * taskBytes)
	repeat := JobSpec{Steps: []StepSpec{step(500)}, Repeat: &Repeat{Times: 3, IntervalMS: 1}}
	l.do(&Command{AtMS: 1000, Submit: []Submit{{ID: "r", Queue: QueueID{Host: "h", Prefix: "/q/"}, Spec: repeat}}})
	before, _ := l.footprint()
	l.do(&Command{AtMS: 1000, Due: []DueOccurrence{{Job: "r", K: 0}}})
	l.do(&Command{AtMS: 1000, Due: []DueOccurrence{{Job: "r", K: 1}}})
	l.do(&Command{AtMS: 1000, Due: []DueOccurrence{{Job: "r", K: 1}}}) // repeated
	check(before + 2*500*taskBytes)

	data, err := l.Snapshot()
	is.NoErr(err)
	restored := &log{Machine: NewMachine()}
	is.NoErr(restored.Restore(data))
	kept, _ := l.footprint()
	again, counted := restored.footprint()
	is.Equal(again, kept)
	is.Equal(counted, kept)

	l.do(&Command{AtMS: 3000, Cancel: []JobID{"cancelled", "r"}})
	check(0)
	l.do(&Command{AtMS: 9000, ForgetBeforeMS: 8000})
	check(0)
	l.do(&Command{AtMS: 9000, Cancel: []JobID{"j"}})
	l.do(&Command{AtMS: 9999, ForgetBeforeMS: 9998})
	kept, _ = l.footprint()
	is.Equal(kept, int64(0))
}

// Large jobs must leave room for small ones.
func TestRoomIsKeptForSmallJobs(t *testing.T) {
	is := is.New(t)
	is.True(Room(0).Fits(1<<60, 1<<60)) // no bound
	r := Room(8 << 20)
	is.True(r.Fits(0, 6<<20))
	is.True(!r.Fits(0, 6<<20+1))
	is.True(r.Fits(6<<20, smallJobBytes))
	is.True(!r.Fits(8<<20, 1))
}
