package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// play feeds rates in steps of 100 ms: each pool has its peak for turn seconds.
func play(t *turns, from, to, turn time.Duration, pools ...string) {
	for now := from; now < to; now += 100 * time.Millisecond {
		active := pools[int(now/turn)%len(pools)]
		rates := map[string]int64{}
		for _, p := range pools {
			rates[p] = 50
		}
		rates[active] = 1000
		t.observe(rates, now)
	}
}

func TestNextTurnIsExpectedBeforeItBegins(t *testing.T) {
	is := is.New(t)
	turn := 5 * time.Second
	pools := []string{"a", "b", "c"}
	learned := newTurns()
	play(&learned, 0, 16500*time.Millisecond, turn, pools...)
	is.Equal(learned.after["a"], "b")
	is.Equal(learned.expect(pools, 16500*time.Millisecond)["b"], int64(0)) // a's turn ends at 20 s
	play(&learned, 16500*time.Millisecond, 18*time.Second, turn, pools...)
	is.Equal(learned.expect(pools, 18*time.Second)["b"], int64(1000))
}

// Symptom: VMs go to a pool that nobody asks for. Sequence: demand is even, or
// a single large job stands out for a moment. Cause: every change of the
// largest rate taken for a turn.
func TestNoTurnWithoutPeaks(t *testing.T) {
	is := is.New(t)
	learned := newTurns()
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		learned.observe(map[string]int64{"a": 400, "b": 380, "c": 390}, now)
	}
	is.Equal(learned.pool, "")
	learned.observe(map[string]int64{"a": 4000, "b": 380, "c": 390}, 21*time.Second)
	learned.observe(map[string]int64{"a": 400, "b": 380, "c": 390}, 21100*time.Millisecond)
	is.Equal(learned.pool, "")
	is.Equal(len(learned.expect([]string{"a", "b", "c"}, 22*time.Second)), 0)
}
