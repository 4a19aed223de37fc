package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// Faults are the probabilities, for each call, of what goes wrong on the way.
type Faults struct {
	// Refuse: the call does not leave; the verdict is NotRun.
	Refuse float64
	// LoseRequest: the call leaves and does not arrive.
	LoseRequest float64
	// LoseAnswer: the call takes effect and its answer does not arrive.
	LoseAnswer float64
	// Late: a command takes effect up to LateBy later, and possibly after
	// commands that were sent after it; the caller gets no answer.
	Late float64
	// Double: a command takes effect now and arrives again up to LateBy later.
	Double float64
	// OldList: a list is the answer to an earlier call.
	OldList float64
	// LateBy bounds delays; 0 stands for 30 s.
	LateBy time.Duration
}

const defaultLateBy = 30 * time.Second

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("no answer")
)

// Unreliable is a Client that reaches the platform over a bad network.
type Unreliable struct {
	platform *Platform

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	vms    platform.VMList
	tasks  platform.TaskList
}

// Unreliable returns a client with faults; each has its own seed.
func (p *Platform) Unreliable(seed uint64, faults Faults) *Unreliable {
	return &Unreliable{platform: p, random: rand.New(rand.NewPCG(seed, seed+1)), faults: faults}
}

// SetFaults changes the probabilities.
func (u *Unreliable) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// VMs implements platform.Client.
func (u *Unreliable) VMs(ctx context.Context, since platform.Cursor) (platform.VMList, error) {
	if err := u.before("list VMs"); err != nil {
		return platform.VMList{}, err
	}
	if u.chance(func(f Faults) float64 { return f.OldList }) {
		return u.oldVMs(), nil
	}
	list, err := u.platform.VMs(ctx, since)
	u.keepVMs(list)
	return list, err
}

// Tasks implements platform.Client.
func (u *Unreliable) Tasks(ctx context.Context, since platform.Cursor) (platform.TaskList, error) {
	if err := u.before("list tasks"); err != nil {
		return platform.TaskList{}, err
	}
	if u.chance(func(f Faults) float64 { return f.OldList }) {
		return u.oldTasks(), nil
	}
	list, err := u.platform.Tasks(ctx, since)
	u.keepTasks(list)
	return list, err
}

// Usage implements platform.Client.
func (u *Unreliable) Usage(ctx context.Context, since platform.Cursor) (platform.UsageList, error) {
	if err := u.before("list usage"); err != nil {
		return platform.UsageList{}, err
	}
	return u.platform.Usage(ctx, since)
}

// Task implements platform.Client.
func (u *Unreliable) Task(ctx context.Context, id model.TaskID) (platform.TaskReport, bool, error) {
	if err := u.before("ask about task"); err != nil {
		return platform.TaskReport{}, false, err
	}
	return u.platform.Task(ctx, id)
}

// Send implements platform.Client.
func (u *Unreliable) Send(ctx context.Context, commands []platform.Command) ([]platform.Answer, error) {
	const op = "send commands"
	if err := u.before(op); err != nil {
		return nil, err
	}
	if u.chance(func(f Faults) float64 { return f.Late }) {
		u.deliverLater(commands)
		return nil, lost(op)
	}
	answers, err := u.platform.Send(ctx, commands)
	if u.chance(func(f Faults) float64 { return f.Double }) {
		u.deliverLater(commands)
	}
	if u.chance(func(f Faults) float64 { return f.LoseAnswer }) {
		return nil, lost(op)
	}
	return answers, err
}

func (u *Unreliable) keepVMs(list platform.VMList) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.vms = list
}

func (u *Unreliable) keepTasks(list platform.TaskList) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tasks = list
}

// oldVMs is the answer to the call before; empty at first.
func (u *Unreliable) oldVMs() platform.VMList {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.vms
}

func (u *Unreliable) oldTasks() platform.TaskList {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tasks
}

func (u *Unreliable) before(op string) error {
	if u.chance(func(f Faults) float64 { return f.Refuse }) {
		return &platform.Error{Verdict: model.NotRun, Op: op, Cause: errRefused}
	}
	if u.chance(func(f Faults) float64 { return f.LoseRequest }) {
		return lost(op)
	}
	return nil
}

// deliverLater hands each command over at its own random time, so that they
// arrive out of order.
func (u *Unreliable) deliverLater(commands []platform.Command) {
	p := u.platform
	defer p.enter()()
	for _, c := range commands {
		p.after(u.delay(), func() { p.accept(c) })
	}
}

func (u *Unreliable) delay() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	bound := u.faults.LateBy
	if bound <= 0 {
		bound = defaultLateBy
	}
	return time.Duration(u.random.Int64N(int64(bound)))
}

func (u *Unreliable) chance(of func(Faults) float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	probability := of(u.faults)
	return probability > 0 && u.random.Float64() < probability
}

func lost(op string) error {
	return &platform.Error{Verdict: model.MayHaveRun, Op: op, Cause: errLost}
}
