package control

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// slowLog applies what is proposed once it is released.
type slowLog struct {
	machine  *workload.Machine
	released chan struct{}
	mu       sync.Mutex
	index    uint64
}

func (l *slowLog) Status() LogStatus {
	return LogStatus{Leader: "a", Term: 1, Leads: true, Confirmed: true}
}

func (l *slowLog) Propose(_ context.Context, c *workload.Command) error {
	<-l.released
	data, err := workload.Encode(c)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.machine.Apply(l.index, data)
	return nil
}

// Large jobs that arrive at once must leave the room that is kept for small ones: none of
// them is in the tables while the others are admitted.
func TestJobsUnderWayTakeRoom(t *testing.T) {
	is := is.New(t)
	log := &slowLog{machine: workload.NewMachine(), released: make(chan struct{})}
	large := workload.JobSpec{Steps: []workload.StepSpec{{Count: 10_000}}}
	room := 4 * large.Footprint()
	s := NewServer(log, log.machine, NewDirectory(nil, steady.Now), nil, workload.Room(room))
	config := &workload.Config{Version: 1, Text: []byte("{}"), Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{
		{ID: workload.QueueID{Host: "h", Prefix: "/q/"}, Pool: "p", MaxAttempts: 1, TimeoutMS: 1},
	}}
	released := log.released
	log.released = make(chan struct{})
	close(log.released)
	is.NoErr(log.Propose(t.Context(), &workload.Command{Config: config}))
	log.released = released

	submit := func(id int, spec workload.JobSpec) controlpb.Finding {
		encoded, err := workload.EncodeSpec(&spec)
		is.NoErr(err)
		name := fmt.Sprintf("%016x", id)
		job := &controlpb.JobName{Host: "h", Path: "/q/" + name, Id: name}
		reply, err := s.Ask(t.Context(), &controlpb.Request{Ask: &controlpb.Request_Submit{Submit: &controlpb.SubmitJob{Job: job, Spec: encoded}}})
		is.NoErr(err)
		return reply.Finding
	}
	var under sync.WaitGroup
	findings := make(chan controlpb.Finding, 20)
	for id := range cap(findings) {
		under.Go(func() { findings <- submit(id, large) })
	}
	for refused := 0; refused < cap(findings)-3; refused++ {
		is.Equal(<-findings, controlpb.Finding_FINDING_UNSPECIFIED) // three fit three quarters
	}
	close(log.released)
	under.Wait()
	is.Equal(len(findings), 3)
	is.Equal(submit(100, workload.JobSpec{Steps: []workload.StepSpec{{Count: 1}}}), controlpb.Finding_FINDING_OK)
	is.Equal(s.admission.proposed, int64(0))
	log.machine.Read(func(t *workload.Tables) { is.True(t.Footprint() <= room) })
}
