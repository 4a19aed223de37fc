package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

func announced(instance string, incarnation, sequence uint64) model.Upstream {
	return model.Upstream{
		Service: "drafts", Instance: model.InstanceID(instance), Address: "127.0.0.1:9000",
		Incarnation: incarnation, Sequence: sequence, Slots: 8, Connections: 64,
	}
}

// A leaving instance must not be listed as serving again when messages arrive
// out of order: an earlier announcement after the leaving one, or a later one
// without the leaving flag or after the withdrawal. Only a restart with a new
// incarnation serves again.
func TestLeavingIsStickyWithinIncarnation(t *testing.T) {
	is := is.New(t)
	r := New(Options{})
	leaving := announced("a", 1, 3)
	leaving.Leaving = true
	_, err := r.Announce(leaving, 0)
	is.NoErr(err)
	_, err = r.Announce(announced("a", 1, 2), 10)
	is.Equal(err, ErrStale)
	lease, err := r.Announce(announced("a", 1, 4), 20)
	is.NoErr(err)
	is.True(lease.Leaving)
	is.Equal(len(r.Serving("drafts")), 0)
	is.NoErr(r.Withdraw("drafts", "a", 1, 30))
	_, err = r.Announce(announced("a", 1, 5), 40)
	is.Equal(err, ErrWithdrawn)
	_, err = r.Announce(announced("a", 2, 1), 50)
	is.NoErr(err)
	is.Equal(len(r.Serving("drafts")), 1)
	is.Equal(r.Violations(), nil)
}

// An unresponsive instance must not stay listed because copies of its last
// announcement, resent or exchanged between peers, extend the lease.
func TestCopiesDoNotExtendLease(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{}), New(Options{})
	lease, err := a.Announce(announced("a", 1, 1), 0)
	is.NoErr(err)
	now := model.Instant(0)
	for ; now < lease.Expires; now += 500 {
		b.Merge(a.Difference(Digest{}, 100, now), now)
		a.Merge(b.Difference(Digest{}, 100, now), now)
		_, _ = a.Announce(announced("a", 1, 1), now)
	}
	now = lease.Expires.Add(time.Millisecond)
	a.Tick(now)
	b.Tick(now)
	is.Equal(len(a.All()), 0)
	is.Equal(len(b.All()), 0)
}

func TestDeltasCarryChangesThenRenewals(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{}), New(Options{})
	_, err := a.Announce(announced("a", 1, 1), 0)
	is.NoErr(err)
	first := a.Deltas(0, 100, 0)
	is.Equal(len(first.Records), 1)
	is.Equal(b.Merge(first, 0).Records, 1)
	_, err = a.Announce(announced("a", 1, 2), 3000)
	is.NoErr(err)
	second := a.Deltas(first.UpToVersion, 100, 3000)
	is.Equal(len(second.Records), 0)
	is.Equal(b.Merge(second, 3000).Renewals, 1)
	is.Equal(a.Digest(), b.Digest())
	is.True(a.Deltas(second.UpToVersion, 100, 3000).Empty())
}

// Behind a balancer an instance renews at another entry VM each time. Its first
// announcement there must not be pushed to all peers at once as a whole record,
// since they have it already: renewals would cost each entry VM more than all its
// other work.
func TestRenewalAtAnotherEntryVM(t *testing.T) {
	is := is.New(t)
	a, b := New(Options{}), New(Options{})
	u := model.Upstream{Service: "plans", Instance: "i1", Address: "127.0.0.1:9", Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64}
	_, err := a.Announce(u, 0)
	is.NoErr(err)
	is.Equal(b.Merge(a.Deltas(0, 10, 0), 0).Records, 1)
	u.Sequence = 2
	_, err = b.Announce(u, 1000)
	is.NoErr(err)
	renewal := b.Deltas(0, 10, 1000)
	is.Equal(len(renewal.Records), 0)
	is.Equal(len(renewal.Renewals), 1)
	is.Equal(b.ChangeVersion(), uint64(0)) // no immediate push needed
	before, _ := a.Get(u.Service, u.Instance)
	is.Equal(a.Merge(renewal, 1000).Renewals, 1)
	after, _ := a.Get(u.Service, u.Instance)
	is.True(after.Expires > before.Expires)
	u.Sequence, u.Leaving = 3, true
	_, err = b.Announce(u, 2000)
	is.NoErr(err)
	is.Equal(len(b.Deltas(renewal.UpToVersion, 10, 2000).Records), 1) // a change is sent as a record
}
