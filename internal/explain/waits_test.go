package explain

import (
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
