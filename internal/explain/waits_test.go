package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitLog holds two jobs of a pool: one waits for VMs, one for the successor of a
// killed leader.
const waitLog = `core-1 {"time":"2026-01-18T14:00:00Z","level":"info","message":"worker announced","fields":{"worker":"w1","pool":"p"}}
core-1 {"time":"2026-01-18T14:00:00.9Z","level":"info","message":"balance","fields":{"pool":"p","have_mcpu":32000,"need_mcpu":32000,"spare_vms":1}}
entry-1 {"time":"2026-01-18T14:00:01Z","level":"info","message":"answered","fields":{"id":"a1","kind":"submit","status":200}}
core-1 {"time":"2026-01-18T14:00:01.9Z","level":"info","message":"balance","fields":{"pool":"p","have_mcpu":32000,"need_mcpu":96000,"spare_vms":0}}
core-1 {"time":"2026-01-18T14:00:02Z","level":"info","message":"runs committed","fields":{"job":"a1","runs":"0@w1#1"}}
core-1 {"time":"2026-01-18T14:00:02.5Z","level":"info","message":"runs committed","fields":{"job":"a1","runs":"1@w1#1"}}
entry-1 {"time":"2026-01-18T14:00:03Z","level":"info","message":"answered","fields":{"id":"a2","kind":"submit","status":200}}
entry-1 {"time":"2026-01-18T14:00:03.1Z","level":"info","message":"answered","fields":{"id":"a3","kind":"submit","status":503}}
core-2 {"time":"2026-01-18T14:00:05Z","level":"info","message":"balance","fields":{"pool":"p","have_mcpu":96000,"need_mcpu":96000,"spare_vms":0}}
core-2 {"time":"2026-01-18T14:00:05.1Z","level":"info","message":"runs committed","fields":{"job":"a2","runs":"0@w1#1"}}
`

func TestWaitsAreSplitByCause(t *testing.T) {
	is := is.New(t)
	lines, _, err := Read(strings.NewReader(waitLog), "other")
	is.NoErr(err)
	waits, samples := Waits(lines)
	is.Equal(len(waits), 2) // a3 was refused
	is.Equal(waits[0].Job, "a1")
	is.Equal(waits[0].Total, time.Second)
	is.Equal(waits[0].ByCause[InsufficientCapacity], 900*time.Millisecond)
	is.Equal(waits[0].ByCause[OtherCause], 100*time.Millisecond)
	is.Equal(waits[1].ByCause[NoLeader], 2*time.Second)
	is.Equal(waits[1].ByCause[OtherCause], 100*time.Millisecond)
	is.Equal(len(samples), 3)
	is.Equal(samples[1].Pools["p"], Balance{Have: 32000, Need: 96000})
	is.Equal(Pools(samples), []string{"p"})
	pools := ByPool(waits)
	is.Equal(len(pools), 1)
	is.Equal(pools[0].Jobs, 2)
	is.Equal(pools[0].P95, 2100*time.Millisecond)
	is.Equal(pools[0].ByCause[NoLeader], 2*time.Second)
}

// A pool that has less than it needs, or has it only on paper, must not be reported
// alike: the remedies differ.
func TestWaitsTellMaintenanceArrivalsAndLeaderApart(t *testing.T) {
	const announced = `core-1 {"time":"2026-01-18T14:00:00Z","level":"info","message":"worker announced","fields":{"worker":"w1","pool":"p"}}
core-1 {"time":"2026-01-18T14:00:00Z","level":"info","message":"delays","fields":{"rounds":10,"commit_ms":150}}
entry-1 {"time":"2026-01-18T14:00:01Z","level":"info","message":"answered","fields":{"id":"a1","kind":"submit","status":200}}
core-1 {"time":"2026-01-18T14:00:01.9Z","level":"info","message":"balance","fields":{"pool":"p",%s}}
core-1 {"time":"2026-01-18T14:00:01.8Z","level":"info","message":"runs committed","fields":{"job":"a1","runs":"0@w1#1"}}
`
	for _, c := range []struct {
		balance string
		want    map[Cause]time.Duration
	}{
		{`"have_mcpu":32000,"need_mcpu":64000,"withheld_mcpu":32000`, map[Cause]time.Duration{WithheldCapacity: 800 * time.Millisecond}},
		{`"have_mcpu":32000,"need_mcpu":96000,"withheld_mcpu":32000`, map[Cause]time.Duration{InsufficientCapacity: 800 * time.Millisecond}},
		{`"have_mcpu":64000,"need_mcpu":64000,"arriving_mcpu":32000`, map[Cause]time.Duration{ArrivingCapacity: 800 * time.Millisecond}},
		{`"have_mcpu":64000,"need_mcpu":64000`, map[Cause]time.Duration{LeaderDelay: 250 * time.Millisecond, OtherCause: 550 * time.Millisecond}},
	} {
		is := is.New(t)
		lines, _, err := Read(strings.NewReader(fmt.Sprintf(announced, c.balance)), "other")
		is.NoErr(err)
		waits, _ := Waits(lines)
		is.Equal(len(waits), 1)
		for cause, waited := range waits[0].ByCause {
			is.Equal(waited, c.want[Cause(cause)]) // of each cause only what is wanted
		}
	}
}
