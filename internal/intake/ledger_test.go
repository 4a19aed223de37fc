package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMemory = 4 << 20

// receiving returns an account whose body arrives since a time.
func receiving(l *ledger, since time.Duration) *account {
	a, _ := l.open(since)
	a.phase, a.since, a.progressAt = phaseBody, since, since
	return a
}

// A sender that stops must not hold the memory that others need, and requests in progress
// must not pay for it.
func TestStalledSendersAreShedFirst(t *testing.T) {
	is := is.New(t)
	l := newLedger(testMemory, 100)
	stalled, running, idle := receiving(l, 0), receiving(l, 0), receiving(l, 0)
	for _, a := range []*account{stalled, running, idle} {
		_, ok := l.charge(a, testMemory/4, 0)
		is.True(ok)
	}
	running.phase = phaseHandling
	idle.phase, idle.served = phaseIdle, true
	asking := receiving(l, time.Second)
	shed, ok := l.charge(asking, testMemory/4, time.Second)
	is.True(ok)
	is.Equal(shed, []*account{stalled})
	shed, ok = l.charge(asking, testMemory/4, time.Second)
	is.True(ok)
	is.Equal(shed, []*account{idle})
	shed, ok = l.charge(asking, testMemory/4, time.Second)
	is.True(!ok) // nothing is left but a request in progress
	is.Equal(len(shed), 0)
}

// A sender that trickles is as bad as one that stops.
func TestTricklingSenderIsShed(t *testing.T) {
	is := is.New(t)
	a := &account{phase: phaseHead, since: 0, progressAt: slowTime - time.Millisecond}
	is.Equal(a.shedRank(slowTime-time.Millisecond), keep)
	is.Equal(a.shedRank(slowTime), shedStalled)
}

// Senders of large bodies must leave memory to small requests.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	l := newLedger(testMemory, 100)
	large, small := receiving(l, 0), receiving(l, 0)
	_, ok := l.charge(large, testMemory-testMemory/reserveDivisor-2*connectionBytes, 0)
	is.True(ok)
	_, ok = l.charge(large, 1, 0)
	is.True(!ok)
	is.True(!l.fits(large, testMemory))
	_, ok = l.charge(small, requestBytes, 0)
	is.True(ok)
}

// A connection on which nothing was ever sent gives way to one that has something to send.
func TestUnusedConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	l := newLedger(testMemory, 4)
	used, _ := l.open(0)
	l.settle(used, 0)
	for range 3 {
		a, _ := l.open(0)
		is.True(a != nil)
	}
	a, shed := l.open(stallTime - searchInterval)
	is.True(a == nil) // all are new
	is.Equal(len(shed), 0)
	a, shed = l.open(stallTime)
	is.True(a != nil)
	is.Equal(len(shed), 1)
	is.True(shed[0] != used)
}

func TestOverduePhases(t *testing.T) {
	limits := Limits{HeaderTimeout: 1, BodyTimeout: 2, IdleTimeout: 3, WriteTimeout: 4}
	for phase, timeout := range map[phase]time.Duration{phaseHead: 1, phaseBody: 2, phaseIdle: 3, phaseWriting: 4} {
		a := &account{phase: phase}
		is := is.New(t)
		is.True(!a.isOverdue(limits, timeout))
		is.True(a.isOverdue(limits, timeout+1))
	}
	is.New(t).True(!(&account{phase: phaseHandling}).isOverdue(limits, time.Hour))
}

// The sums must stay those of the accounts, and within their bounds, whatever happens to
// connections in whatever order.
func TestLedgerStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(testMemory, 20)
		var accounts []*account
		now := time.Duration(0)
		pick := func() *account {
			if len(accounts) == 0 {
				return nil
			}
			return accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if a, _ := l.open(now); a != nil {
					accounts = append(accounts, a)
				}
			},
			"charge": func(t *rapid.T) {
				if a := pick(); a != nil {
					_, _ = l.charge(a, rapid.Int64Range(0, testMemory).Draw(t, "bytes"), now)
				}
			},
			"phase": func(t *rapid.T) {
				if a := pick(); a != nil {
					a.phase, a.progressAt = phase(rapid.IntRange(0, int(phaseWriting)).Draw(t, "phase")), now
				}
			},
			"settle": func(*rapid.T) {
				if a := pick(); a != nil {
					l.settle(a, now)
				}
			},
			"close": func(*rapid.T) {
				if a := pick(); a != nil {
					l.close(a)
					l.close(a) // net/http closes more than once
				}
			},
			"sweep": func(*rapid.T) { l.overdue(Limits{}.withDefaults(), now) },
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) { checkSums(t, l) },
		})
	})
}

func checkSums(t *rapid.T, l *ledger) {
	var charged, leaving int64
	count := 0
	for a := range l.accounts {
		if a.leaving {
			leaving += a.charged
			count++
		} else {
			charged += a.charged
		}
	}
	if charged != l.charged || leaving != l.leaving || count != l.leavingCount {
		t.Fatalf("sums %d, %d and %d of accounts that hold %d, %d and %d", l.charged, l.leaving, l.leavingCount, charged, leaving, count)
	}
	if l.charged > l.memory || l.leaving > 2*l.memory {
		t.Fatalf("%d and %d bytes are held of %d", l.charged, l.leaving, l.memory)
	}
	if len(l.accounts)-l.leavingCount > l.connections {
		t.Fatalf("%d connections of %d", len(l.accounts)-l.leavingCount, l.connections)
	}
}
