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

// Faults holds the probability of each network fault per call.
type Faults struct {
	// Refuse: the request is not sent; the verdict is NotRun.
	Refuse float64
	// LoseRequest: the request is sent but does not arrive.
	LoseRequest float64
	// LoseResponse: the call takes effect but the response does not arrive.
	LoseResponse float64
	// Delay: each command arrives up to MaxDelay later, possibly after commands
	// that were sent after it; the client gets no response.
	Delay float64
	// Duplicate: each command arrives now and once more up to MaxDelay later.
	Duplicate float64
	// StaleList: the response is the list of an earlier call.
	StaleList float64
	// MaxDelay bounds the delays; 0 means 30 s.
	MaxDelay time.Duration
}

const defaultMaxDelay = 30 * time.Second

var (
	errRefused = errors.New("connection refused")
	errLost    = errors.New("no answer")
)

// Unreliable is a platform.Client with network faults.
type Unreliable struct {
	platform *Platform

	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	vms    platform.VMList
	tasks  platform.TaskList
}

// Unreliable returns a client with faults that are drawn from its own seed.
func (p *Platform) Unreliable(seed uint64, faults Faults) *Unreliable {
	return &Unreliable{platform: p, random: rand.New(rand.NewPCG(seed, seed+1)), faults: faults}
}

// SetFaults replaces the probabilities.
func (u *Unreliable) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// VMs implements platform.Client.
func (u *Unreliable) VMs(ctx context.Context, since platform.Cursor) (platform.VMList, error) {
	if err := u.requestFault("list VMs"); err != nil {
		return platform.VMList{}, err
	}
	if u.chance(func(f Faults) float64 { return f.StaleList }) {
		return u.previousVMs(), nil
	}
	list, err := u.platform.VMs(ctx, since)
	u.keepVMs(list)
	return list, err
}

// Tasks implements platform.Client.
func (u *Unreliable) Tasks(ctx context.Context, since platform.Cursor) (platform.TaskList, error) {
	if err := u.requestFault("list tasks"); err != nil {
		return platform.TaskList{}, err
	}
	if u.chance(func(f Faults) float64 { return f.StaleList }) {
		return u.previousTasks(), nil
	}
	list, err := u.platform.Tasks(ctx, since)
	u.keepTasks(list)
	return list, err
}

// Usage implements platform.Client.
func (u *Unreliable) Usage(ctx context.Context, since platform.Cursor) (platform.UsageList, error) {
	if err := u.requestFault("list usage"); err != nil {
		return platform.UsageList{}, err
	}
	return u.platform.Usage(ctx, since)
}

// Task implements platform.Client.
func (u *Unreliable) Task(ctx context.Context, id model.TaskID) (platform.TaskReport, bool, error) {
	if err := u.requestFault("ask about task"); err != nil {
		return platform.TaskReport{}, false, err
	}
	return u.platform.Task(ctx, id)
}

// Send implements platform.Client.
func (u *Unreliable) Send(ctx context.Context, commands []platform.Command) ([]platform.Answer, error) {
	const op = "send commands"
	if err := u.requestFault(op); err != nil {
		return nil, err
	}
	if u.chance(func(f Faults) float64 { return f.Delay }) {
		u.deliverLater(commands)
		return nil, lostError(op)
	}
	answers, err := u.platform.Send(ctx, commands)
	if u.chance(func(f Faults) float64 { return f.Duplicate }) {
		u.deliverLater(commands)
	}
	if u.chance(func(f Faults) float64 { return f.LoseResponse }) {
		return nil, lostError(op)
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

// previousVMs returns the last list that was received, empty before the first.
func (u *Unreliable) previousVMs() platform.VMList {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.vms
}

func (u *Unreliable) previousTasks() platform.TaskList {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.tasks
}

func (u *Unreliable) requestFault(op string) error {
	if u.chance(func(f Faults) float64 { return f.Refuse }) {
		return &platform.Error{Verdict: model.NotRun, Op: op, Cause: errRefused}
	}
	if u.chance(func(f Faults) float64 { return f.LoseRequest }) {
		return lostError(op)
	}
	return nil
}

// deliverLater delivers each command after a random delay of its own, so that
// they arrive out of order.
func (u *Unreliable) deliverLater(commands []platform.Command) {
	p := u.platform
	defer p.lock()()
	for _, c := range commands {
		p.after(u.delay(), func() { p.accept(c) })
	}
}

func (u *Unreliable) delay() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	bound := u.faults.MaxDelay
	if bound <= 0 {
		bound = defaultMaxDelay
	}
	return time.Duration(u.random.Int64N(int64(bound)))
}

func (u *Unreliable) chance(of func(Faults) float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	probability := of(u.faults)
	return probability > 0 && u.random.Float64() < probability
}

func lostError(op string) error {
	return &platform.Error{Verdict: model.MayHaveRun, Op: op, Cause: errLost}
}
