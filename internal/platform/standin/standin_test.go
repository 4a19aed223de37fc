package standin

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

func twoVMs() Config {
	size := model.Resources{MilliCPU: 4000, MemoryMB: 16000}
	return Config{Start: 1000, VMs: []VM{
		{ID: "a", Worker: "wa", Zone: "z1", Rack: "r1", Capacity: size},
		{ID: "b", Worker: "wb", Zone: "z2", Rack: "r2", Capacity: size},
	}}
}

func start(task model.TaskID, lease model.Instant) platform.Command {
	return platform.Command{
		ID: model.CommandID("start/" + task), Kind: platform.Start, VM: "a", Task: task, LeaseUntil: lease,
		Fence: platform.Fence{Term: 1, Generation: 1}, Spec: &platform.TaskSpec{Worker: "wa", Job: model.JobID("job-" + task)},
	}
}

func send(t *testing.T, c platform.Client, commands ...platform.Command) platform.Code {
	t.Helper()
	answers, err := c.Send(context.Background(), commands)
	is.New(t).NoErr(err)
	return answers[len(answers)-1].Code
}

// A delayed start must have no effect if in the meantime the task was stopped, its
// lease expired, its VM got another owner or the leader was replaced. Without a
// fence at the receiver, a job that was cancelled or given up would run.
func TestLateStartHasNoEffect(t *testing.T) {
	is := is.New(t)
	p := New(twoVMs())
	is.Equal(send(t, p, platform.Command{ID: "stop/t1", Kind: platform.Stop, Task: "t1", Fence: platform.Fence{Term: 1}}), platform.Accepted)
	is.Equal(send(t, p, start("t1", 9000)), platform.Refused)
	is.Equal(send(t, p, start("t2", 1000)), platform.Refused) // its lease has expired
	newer := start("t3", 9000)
	newer.Fence.Generation = 2
	is.Equal(send(t, p, newer), platform.Accepted)
	is.Equal(send(t, p, start("t4", 9000)), platform.Stale) // of an earlier owner
	old := start("t5", 9000)
	old.Fence = platform.Fence{Term: 0, Generation: 9}
	is.Equal(send(t, p, old), platform.Stale) // of a replaced leader
	is.Equal(p.Tally().Starts, map[model.JobID]int{"job-t3": 1})
}

// Copies of drain, reboot and return commands that arrive after the maintenance has
// ended must have no effect, in whatever order they arrive. If the receiver couldn't
// tell a copy from a new command, the VM would be drained again or rebooted twice.
func TestDuplicatedMaintenanceCommandsHaveNoEffect(t *testing.T) {
	is := is.New(t)
	p := New(twoVMs())
	command := func(id string, kind platform.CommandKind, generation uint64, boot string) platform.Command {
		return platform.Command{ID: model.CommandID(id), Kind: kind, VM: "a", BootID: boot, Fence: platform.Fence{Term: 1, Generation: generation, Step: kind.Step()}}
	}
	is.Equal(send(t, p, command("d", platform.Drain, 5, "")), platform.Accepted)
	is.Equal(send(t, p, command("r", platform.Reboot, 5, "a-boot-1")), platform.Accepted)
	p.Advance(p.Now().Add(time.Hour))
	is.Equal(send(t, p, command("x", platform.Return, 5, "")), platform.Accepted)
	is.Equal(send(t, p, command("d2", platform.Drain, 5, "")), platform.Stale)
	is.Equal(send(t, p, command("r2", platform.Reboot, 5, "a-boot-2")), platform.Stale)
	is.Equal(send(t, p, command("r3", platform.Reboot, 6, "a-boot-1")), platform.Refused) // not the current boot ID
	list, _ := p.VMs(context.Background(), "")
	is.Equal(list.VMs[0].Drained, false)
	is.Equal(list.VMs[0].BootID, "a-boot-2")
	is.Equal(p.Tally().Reboots, map[model.VMID]int{"a": 1})
}

// A disconnected worker must end its tasks by itself when their leases expire;
// otherwise a job could run on two workers at once.
func TestLeaseEndsOnDisconnectedWorker(t *testing.T) {
	is := is.New(t)
	c := twoVMs()
	c.Behaviour = func(platform.TaskSpec) Work { return Work{Runtime: time.Hour} }
	var stopped []TaskInfo
	c.OnStop = func(r TaskInfo) { stopped = append(stopped, r) }
	p := New(c)
	is.Equal(send(t, p, start("t1", 61_000)), platform.Accepted)
	p.Disconnect(OneVM("a"))
	renew := platform.Command{ID: "renew", Kind: platform.Renew, Tasks: []model.TaskID{"t1", "t9"}, LeaseUntil: 90_000, Fence: platform.Fence{Term: 1}}
	answers, _ := p.Send(context.Background(), []platform.Command{renew})
	is.Equal(answers[0].Missing, []model.TaskID{"t9"})
	p.Advance(61_000)
	is.Equal(len(stopped), 1)
	is.True(stopped[0].Killed)
	list, _ := p.Tasks(context.Background(), "")
	is.Equal(len(list.Tasks), 0) // the end is not reported yet
	p.Reconnect(OneVM("a"))
	list, _ = p.Tasks(context.Background(), "")
	is.Equal(list.Tasks[0].Ended, platform.Lapsed)
}

// The HTTP client and handler transmit lists, commands and verdicts.
func TestOverHTTP(t *testing.T) {
	is := is.New(t)
	p := New(twoVMs())
	client := p.Unreliable(1, Faults{})
	server := httptest.NewServer(Handler(client))
	defer server.Close()
	c, err := platform.NewHTTP(platform.HTTPOptions{Address: server.URL})
	is.NoErr(err)
	defer c.Close()
	ctx := context.Background()
	list, err := c.VMs(ctx, "")
	is.NoErr(err)
	is.True(list.Full)
	is.Equal(len(list.VMs), 2)
	is.Equal(send(t, c, start("region/t1", 900_000)), platform.Accepted)
	report, known, err := c.Task(ctx, "region/t1")
	is.NoErr(err)
	is.True(known && report.Ended == "")
	_, known, err = c.Task(ctx, "region/t2")
	is.NoErr(err)
	is.True(!known)
	next, err := c.VMs(ctx, list.Next)
	is.NoErr(err)
	is.Equal(len(next.VMs), 0) // nothing changed
	client.SetFaults(Faults{LoseResponse: 1})
	_, err = c.Send(ctx, []platform.Command{start("t3", 900_000)})
	is.Equal(platform.VerdictOf(err), model.MayHaveRun)
	is.Equal(len(p.Tally().Starts), 2) // the command took effect
	client.SetFaults(Faults{Refuse: 1})
	_, err = c.Send(ctx, nil)
	is.Equal(platform.VerdictOf(err), model.NotRun) // 503
	server.Close()
	c.Close()
	_, err = c.Usage(ctx, "")
	is.Equal(platform.VerdictOf(err), model.NotRun) // no connection
}
