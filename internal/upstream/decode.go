package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	stateServing = "serving"
	stateLeaving = "leaving"
	// maxNameBytes bounds each identifier of an announcement.
	maxNameBytes = 128
	// maxSlots bounds the slots of one instance.
	maxSlots = 4096
	// maxConnections bounds the connections of one instance.
	maxConnections = 65535
)

// Announcement is the body of PUT /upstreams/:service/:instance.
type Announcement struct {
	// Address is IP:port; host names are refused.
	Address          string `json:"address"`
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	Incarnation      uint64 `json:"incarnation"`
	Sequence         uint64 `json:"sequence"`
	Slots            int    `json:"slots"`
	Connections      int    `json:"connections"`
	// State is "serving" or "leaving".
	State string `json:"state"`
}

// InputError is an invalid input: the key at fault and what is allowed.
type InputError struct {
	Key     string
	Message string
	cause   error
}

// Error returns the key and the message.
func (e *InputError) Error() string {
	if e.Key == "" {
		return e.Message
	}
	return e.Key + ": " + e.Message
}

// Unwrap returns the cause, which may be nil.
func (e *InputError) Unwrap() error { return e.cause }

type announceResponse struct {
	// RenewAfter and Lease are durations with a unit.
	RenewAfter string `json:"renew_after,omitempty"`
	Lease      string `json:"lease,omitempty"`
	// Leaving is set when the registry treats the instance as leaving, whatever
	// state it announced.
	Leaving bool `json:"leaving,omitempty"`
}

type errorResponse struct {
	Error string `json:"error"`
	Key   string `json:"key,omitempty"`
}

// DecodeAnnouncement decodes one announcement. Unknown keys and wrong types are
// errors that name the key; data after the announcement is an error, too.
func DecodeAnnouncement(r io.Reader) (Announcement, error) {
	var a Announcement
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return Announcement{}, &InputError{Message: "body is not an announcement: " + err.Error(), cause: err}
	}
	if _, err := d.Token(); err != io.EOF {
		return Announcement{}, &InputError{Message: "body holds more than one JSON object", cause: err}
	}
	return a, nil
}

// Upstream validates all values and returns the instance in the form that the
// registry stores.
func (a Announcement) Upstream(service, instance string) (model.Upstream, error) {
	s, i, err := parseNames(service, instance)
	if err != nil {
		return model.Upstream{}, err
	}
	if err := a.check(); err != nil {
		return model.Upstream{}, err
	}
	return model.Upstream{
		Service:     s,
		Instance:    i,
		Address:     a.Address,
		VM:          model.VMID(a.VM),
		Zone:        model.ZoneID(a.AvailabilityZone),
		Incarnation: a.Incarnation,
		Sequence:    a.Sequence,
		Slots:       a.Slots,
		Connections: a.Connections,
		Leaving:     a.State == stateLeaving,
	}, nil
}

func (a Announcement) check() error {
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if err := checkName("vm", a.VM); err != nil {
		return err
	}
	if err := checkName("availability_zone", a.AvailabilityZone); err != nil {
		return err
	}
	if a.Incarnation == 0 {
		return &InputError{Key: "incarnation", Message: "must be an integer of at least 1 that grows with each start"}
	}
	if a.Sequence == 0 {
		return &InputError{Key: "sequence", Message: "must be an integer of at least 1 that grows with each announcement"}
	}
	if err := checkRange("slots", a.Slots, maxSlots); err != nil {
		return err
	}
	if err := checkRange("connections", a.Connections, maxConnections); err != nil {
		return err
	}
	if a.State != stateServing && a.State != stateLeaving {
		return &InputError{Key: "state", Message: "allowed are serving and leaving"}
	}
	return nil
}

// checkAddress refuses host names: each entry VM would resolve the name by
// itself and could get a different address.
func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return &InputError{Key: "address", Message: "must be IP:port, without a host name"}
	}
	ip := a.Addr()
	if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return &InputError{Key: "address", Message: "must be the IP of one host"}
	}
	return nil
}

func checkRange(key string, v, upper int) error {
	if v < 1 || v > upper {
		return &InputError{Key: key, Message: fmt.Sprintf("must be between 1 and %d", upper)}
	}
	return nil
}

func parseNames(service, instance string) (model.ServiceID, model.InstanceID, error) {
	if err := checkName("service", service); err != nil {
		return "", "", err
	}
	if err := checkName("instance", instance); err != nil {
		return "", "", err
	}
	return model.ServiceID(service), model.InstanceID(instance), nil
}

func checkName(key, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, isInvalidNameRune) {
		return &InputError{Key: key, Message: fmt.Sprintf("must have 1 to %d letters, digits or any of - _ . : / @", maxNameBytes)}
	}
	return nil
}

func isInvalidNameRune(c rune) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	digit := c >= '0' && c <= '9'
	return !letter && !digit && !strings.ContainsRune("-_.:/@", c)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
