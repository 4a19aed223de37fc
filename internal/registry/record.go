package registry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Bounds of an announcement.
const (
	// MaxNameBytes bounds the names in an announcement.
	MaxNameBytes = 128
	// MaxSlots bounds the slots that an instance may announce.
	MaxSlots = 10_000
	// MaxConnections bounds the connections that an instance may announce.
	MaxConnections = 100_000
)

// Errors of Announce and Withdraw. None of them changes the registry.
var (
	// ErrStale means that a later announcement of the instance is known.
	ErrStale = errors.New("registry: a later announcement is known")
	// ErrWithdrawn means that this incarnation was withdrawn; a restarted
	// instance announces itself with a larger incarnation.
	ErrWithdrawn = errors.New("registry: this incarnation was withdrawn")
	// ErrFull means that the registry or the service has reached its maximum
	// number of instances.
	ErrFull = errors.New("registry: too many instances")
	// ErrUnknown means that no such instance is known.
	ErrUnknown = errors.New("registry: unknown instance")
)

// InvalidError names the field of an announcement that is invalid.
type InvalidError struct {
	Field   string
	Allowed string
}

// Error names the field and its allowed values.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("registry: %s must be %s", e.Field, e.Allowed)
}

// Record is the state of an upstream instance as entry VMs send it to each other.
type Record struct {
	Service     model.ServiceID  `cbor:"1,keyasint"`
	Instance    model.InstanceID `cbor:"2,keyasint"`
	Address     string           `cbor:"3,keyasint"`
	VM          model.VMID       `cbor:"4,keyasint"`
	Zone        model.ZoneID     `cbor:"5,keyasint"`
	Incarnation uint64           `cbor:"6,keyasint"`
	Sequence    uint64           `cbor:"7,keyasint"`
	Slots       int              `cbor:"8,keyasint"`
	Connections int              `cbor:"9,keyasint"`
	Leaving     bool             `cbor:"10,keyasint,omitempty"`
	Withdrawn   bool             `cbor:"11,keyasint,omitempty"`
	// RemainingMS is the remaining time of the lease, in milliseconds.
	RemainingMS int64 `cbor:"12,keyasint"`
}

// Renewal extends the lease of a record whose content the peer should already
// have.
type Renewal struct {
	_ struct{} `cbor:",toarray"`
	// Content is the hash of the record without sequence and lease. A peer with
	// another content ignores the renewal: extending a record that lacks a
	// change, such as leaving, would hide the change.
	Content     uint64
	Sequence    uint64
	RemainingMS int64
}

// Batch is one message of deltas, or the reply to a digest.
type Batch struct {
	// UpToVersion is the sender's version that the peer has after applying the
	// batch; the peer's reply acknowledges it. It is 0 in the reply to a digest.
	UpToVersion uint64    `cbor:"1,keyasint,omitempty"`
	Records     []Record  `cbor:"2,keyasint,omitempty"`
	Renewals    []Renewal `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether the batch has neither records nor renewals.
func (b Batch) Empty() bool { return len(b.Records) == 0 && len(b.Renewals) == 0 }

// instanceKey identifies an instance.
type instanceKey struct {
	service  model.ServiceID
	instance model.InstanceID
}

// validateName checks the fields that identify an instance.
func validateName(u model.Upstream) error {
	for _, f := range []struct{ field, value string }{
		{"service", string(u.Service)}, {"instance", string(u.Instance)},
	} {
		if f.value == "" || len(f.value) > MaxNameBytes {
			return &InvalidError{f.field, fmt.Sprintf("1 to %d bytes", MaxNameBytes)}
		}
	}
	if u.Incarnation == 0 {
		return &InvalidError{"incarnation", "at least 1"}
	}
	return nil
}

// validate checks an announcement.
func validate(u model.Upstream) error {
	if err := validateName(u); err != nil {
		return err
	}
	for _, f := range []struct{ field, value string }{
		{"vm", string(u.VM)}, {"availability_zone", string(u.Zone)},
	} {
		if len(f.value) > MaxNameBytes {
			return &InvalidError{f.field, fmt.Sprintf("at most %d bytes", MaxNameBytes)}
		}
	}
	if address, err := netip.ParseAddrPort(u.Address); err != nil || address.Port() == 0 {
		return &InvalidError{"address", "IP:port"}
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		return &InvalidError{"slots", fmt.Sprintf("1 to %d", MaxSlots)}
	}
	if u.Connections < 1 || u.Connections > MaxConnections {
		return &InvalidError{"connections", fmt.Sprintf("1 to %d", MaxConnections)}
	}
	if u.Sequence == 0 {
		return &InvalidError{"sequence", "at least 1"}
	}
	return nil
}

// bucketOf returns the bucket of the digest to which an instance belongs.
func bucketOf(key instanceKey) int {
	var d xxhash.Digest
	d.Reset()
	writeString(&d, string(key.service))
	writeString(&d, string(key.instance))
	return int(d.Sum64() % Buckets)
}

// hashContent hashes everything except sequence and lease.
func hashContent(u *model.Upstream) uint64 {
	var d xxhash.Digest
	d.Reset()
	writeString(&d, string(u.Service))
	writeString(&d, string(u.Instance))
	writeString(&d, u.Address)
	writeString(&d, string(u.VM))
	writeString(&d, string(u.Zone))
	writeUint(&d, u.Incarnation)
	writeUint(&d, uint64(u.Slots))
	writeUint(&d, uint64(u.Connections))
	if u.Leaving {
		writeUint(&d, 1)
	}
	return d.Sum64()
}

// writeString writes the length before the string, so that ("ab","c") and
// ("a","bc") have different hashes.
func writeString(d *xxhash.Digest, s string) {
	writeUint(d, uint64(len(s)))
	_, _ = d.WriteString(s)
}

func writeUint(d *xxhash.Digest, v uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], v)
	_, _ = d.Write(b[:])
}

func newRecord(e *entry, now model.Instant) Record {
	u := &e.upstream
	return Record{
		Service: u.Service, Instance: u.Instance, Address: u.Address, VM: u.VM, Zone: u.Zone,
		Incarnation: u.Incarnation, Sequence: u.Sequence, Slots: u.Slots, Connections: u.Connections,
		Leaving: u.Leaving, Withdrawn: e.withdrawn, RemainingMS: remainingMS(e, now),
	}
}

// remainingMS returns the remaining time of an entry's lease, in milliseconds.
func remainingMS(e *entry, now model.Instant) int64 {
	return max(0, e.upstream.Expires.Sub(now).Milliseconds())
}

func (r Record) upstream() model.Upstream {
	return model.Upstream{
		Service: r.Service, Instance: r.Instance, Address: r.Address, VM: r.VM, Zone: r.Zone,
		Incarnation: r.Incarnation, Sequence: r.Sequence, Slots: r.Slots, Connections: r.Connections,
		Leaving: r.Leaving,
	}
}
