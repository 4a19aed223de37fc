package schedule

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Occurrences that nothing can run must not pile up beyond the memory of the core VMs.
func TestOccurrencesWaitForRoom(t *testing.T) {
	is := is.New(t)
	due := func(room workload.Room) int {
		repeat := &workload.Repeat{Times: 9, IntervalMS: 1}
		spec := workload.JobSpec{Steps: []workload.StepSpec{{Count: 1000}}, Repeat: repeat}
		queue := workload.QueueID{Host: "h", Prefix: "/q/"}
		tables := &workload.Tables{Live: map[workload.QueueID][]*workload.Job{queue: {{ID: "a", Spec: spec}, {ID: "b", Spec: spec}}}}
		p := newPlanner(Input{Tables: tables, NowMS: 1000, Room: room})
		p.collectDue()
		return len(p.plan.Due)
	}
	one := (&workload.JobSpec{Steps: []workload.StepSpec{{Count: 1000}}}).OccurrenceBytes()
	is.Equal(due(0), 2)
	is.Equal(due(workload.Room(4*one)), 2)
	is.Equal(due(workload.Room(2*one)), 1) // a quarter is kept for small jobs
	is.Equal(due(workload.Room(one)), 0)
}
