package intake

import (
	"cmp"
	"slices"
	"time"
)

// Estimates of the memory behind a connection, in bytes.
const (
	// connectionBytes is what an open connection holds between two requests: its
	// goroutine and its read buffer.
	connectionBytes = 16 << 10
	// requestBytes is what a request holds beside its head and body: the handler's
	// stack, the write buffer, a call onward, and bytes that the kernel has received
	// and nobody has read.
	requestBytes = 64 << 10
	// lineBytes is what one line of a head holds beside its text: its entry in the
	// map of the header.
	lineBytes = 200
	// trailerBytes is what the trailers of a chunked body hold: net/http parses at
	// most one read buffer of them.
	trailerBytes = 256 << 10
	// bodyFactor is what a byte of a body holds while the buffer for it grows.
	bodyFactor = 3
)

const (
	// smallBytes is the charge up to which an account may use all memory. Larger ones
	// leave 1/reserveDivisor of it to small requests.
	smallBytes     = 192 << 10
	reserveDivisor = 8
	// shedDivisor is the share of the memory or the connections that is shed at once,
	// so that the accounts aren't searched for each byte.
	shedDivisor = 16
	// searchInterval is the least time between two searches for accounts to shed of which
	// the first did not find enough.
	searchInterval = 20 * time.Millisecond
	// leavingDivisor bounds the connections that were shed and are not yet closed.
	leavingDivisor = 4
	// stallTime is how long a connection may make no progress before it can be shed,
	// slowTime how long a request may take to arrive.
	stallTime = 300 * time.Millisecond
	slowTime  = 3 * time.Second
)

// phase is what a connection is doing.
type phase uint8

const (
	// phaseIdle is the time between two requests, and before the first.
	phaseIdle phase = iota
	phaseHead
	phaseBody
	// phaseHandling is the time from the end of the body to the response.
	phaseHandling
	// phaseWriting is the time within one write of a response.
	phaseWriting
)

// account is what one connection, or one call of a shared connection, holds.
type account struct {
	number uint64
	phase  phase
	// since is when the current request began to arrive, or the idle time began.
	since time.Duration
	// progressAt is when the last byte was received or sent.
	progressAt time.Duration
	// charged is what it holds, in bytes.
	charged int64
	// headBytes counts the bytes of the current head.
	headBytes int64
	// served is set once a request has been served.
	served bool
	// shared marks a connection whose requests have accounts of their own.
	shared bool
	// leaving is set once it was shed, leftIn is its phase at that moment. It holds its
	// memory until it is closed.
	leaving bool
	leftIn  phase
	// closed is set once it is closed; it holds nothing from then on.
	closed bool
	holder holder
}

// ledger holds the accounts of one listener. It has no clock, lock or socket.
type ledger struct {
	memory      int64
	connections int

	accounts map[*account]struct{}
	opened   uint64
	// charged sums the accounts that stay, leaving those that were shed.
	charged, leaving int64
	leavingCount     int
	// searchAt is when accounts to shed may be searched for again.
	searchAt time.Duration
}

func newLedger(memory int64, connections int) *ledger {
	return &ledger{memory: memory, connections: connections, accounts: map[*account]struct{}{}}
}

// open adds an account, or returns nil if there is no room for it. The accounts in shed
// are to be interrupted.
func (l *ledger) open(now time.Duration) (a *account, shed []*account) {
	if l.leavingCount > l.connections/leavingDivisor {
		return nil, nil
	}
	if missing := len(l.accounts) - l.leavingCount + 1 - l.connections; missing > 0 {
		shed = l.shedConnections(missing+l.connections/shedDivisor, now)
	}
	if len(l.accounts)-l.leavingCount >= l.connections {
		return nil, shed
	}
	l.opened++
	a = &account{number: l.opened, since: now, progressAt: now}
	l.accounts[a] = struct{}{}
	more, ok := l.charge(a, connectionBytes, now)
	shed = append(shed, more...)
	if !ok {
		l.close(a)
		return nil, shed
	}
	return a, shed
}

// charge adds bytes to an account, or reports that there is no room for them. The
// accounts in shed are to be interrupted.
func (l *ledger) charge(a *account, bytes int64, now time.Duration) (shed []*account, ok bool) {
	if a.leaving || a.closed {
		return nil, false
	}
	limit := l.limitFor(a.charged + bytes)
	if missing := l.charged + bytes - limit; missing > 0 {
		if l.leaving <= l.memory {
			shed = l.shedMemory(a, missing+l.memory/shedDivisor, now)
		}
		if l.charged+bytes > limit {
			return shed, false
		}
	}
	a.charged += bytes
	l.charged += bytes
	return shed, true
}

// limitFor returns up to what sum an account may be charged that will then hold bytes.
func (l *ledger) limitFor(bytes int64) int64 {
	if bytes <= smallBytes {
		return l.memory
	}
	return l.memory - l.memory/reserveDivisor
}

// fits reports whether an account could ever hold that much more.
func (l *ledger) fits(a *account, bytes int64) bool {
	return a.charged+bytes <= l.limitFor(a.charged+bytes)
}

// settle ends the current request of an account.
func (l *ledger) settle(a *account, now time.Duration) {
	if a.closed {
		return
	}
	a.phase, a.since, a.progressAt, a.served, a.headBytes = phaseIdle, now, now, true, 0
	l.credit(a, a.charged-connectionBytes)
}

func (l *ledger) credit(a *account, bytes int64) {
	a.charged -= bytes
	if a.leaving {
		l.leaving -= bytes
	} else {
		l.charged -= bytes
	}
}

// close removes an account.
func (l *ledger) close(a *account) {
	if a.closed {
		return
	}
	a.closed = true
	l.credit(a, a.charged)
	if a.leaving {
		l.leavingCount--
	}
	delete(l.accounts, a)
}

// shedMemory sheds accounts other than but until they have held the given bytes.
func (l *ledger) shedMemory(but *account, bytes int64, now time.Duration) []*account {
	return l.shed(now, but, bytes, func(a *account) int64 { return a.charged })
}

// shedConnections sheds count accounts.
func (l *ledger) shedConnections(count int, now time.Duration) []*account {
	return l.shed(now, nil, int64(count), func(*account) int64 { return 1 })
}

// shed sheds accounts in their order until what they held, by a measure, suffices.
func (l *ledger) shed(now time.Duration, but *account, missing int64, measure func(*account) int64) (shed []*account) {
	if now < l.searchAt {
		return nil
	}
	for _, a := range l.candidates(now, but) {
		if missing <= 0 {
			break
		}
		missing -= measure(a)
		l.leave(a)
		shed = append(shed, a)
	}
	if missing > 0 {
		l.searchAt = now + searchInterval
	}
	return shed
}

// leave marks an account that is shed.
func (l *ledger) leave(a *account) {
	a.leaving, a.leftIn = true, a.phase
	l.leavingCount++
	l.charged -= a.charged
	l.leaving += a.charged
}

// candidates returns the accounts that can be shed, the first to be shed first.
func (l *ledger) candidates(now time.Duration, but *account) []*account {
	var all []*account
	for a := range l.accounts {
		if a != but && !a.leaving && a.shedRank(now) != keep {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.shedRank(now), b.shedRank(now)), cmp.Compare(a.waitsSince(), b.waitsSince()), cmp.Compare(a.number, b.number))
	})
	return all
}

// shedRank orders accounts for shedding; lower ranks are shed first.
type shedRank uint8

const (
	// shedStalled is for requests that don't arrive, and for connections on which no
	// request has ever arrived.
	shedStalled shedRank = iota
	// shedUnread is for responses that nobody reads.
	shedUnread
	// shedIdle is for connections between two requests.
	shedIdle
	// keep is for connections that make progress and for requests in progress.
	keep
)

func (a *account) shedRank(now time.Duration) shedRank {
	stalled := now-a.progressAt >= stallTime
	switch a.phase {
	case phaseHead, phaseBody:
		if stalled || now-a.since >= slowTime {
			return shedStalled
		}
	case phaseWriting:
		if stalled {
			return shedUnread
		}
	case phaseIdle:
		switch {
		case !stalled:
		case a.served:
			return shedIdle
		default:
			return shedStalled
		}
	}
	return keep
}

// waitsSince returns since when an account has waited for its peer.
func (a *account) waitsSince() time.Duration {
	if a.phase == phaseIdle {
		return max(a.since, a.progressAt)
	}
	return a.since
}

// overdue returns the accounts that have exceeded a timeout, those of idle connections
// apart; they then leave.
func (l *ledger) overdue(limits Limits, now time.Duration) (idle, late []*account) {
	for a := range l.accounts {
		if a.leaving || !a.isOverdue(limits, now) {
			continue
		}
		l.leave(a)
		if a.phase == phaseIdle {
			idle = append(idle, a)
		} else {
			late = append(late, a)
		}
	}
	return idle, late
}

func (a *account) isOverdue(limits Limits, now time.Duration) bool {
	switch a.phase {
	case phaseHead:
		return now-a.since > limits.HeaderTimeout
	case phaseBody:
		return now-a.since > limits.BodyTimeout
	case phaseWriting:
		return now-a.progressAt > limits.WriteTimeout
	case phaseIdle:
		if a.shared && !a.served {
			return now-a.since > limits.HeaderTimeout
		}
		return now-a.waitsSince() > limits.IdleTimeout
	default:
		return false
	}
}
