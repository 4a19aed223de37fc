package lending

import (
	"testing"

	"github.com/matryer/is"
)

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	request := Request{
		Service: "drafts", Borrower: "n1", Incarnation: 7, Number: 9, Wanted: [Classes]int{1, 2, 3},
		Held: []Holding{{Instance: "i1", Slots: 3, Usable: 2}}, RunMS: 1000, WaitMS: 400, Handover: []SlotCount{{Instance: "i2", Slots: 1}},
	}
	data, err := EncodeRequest(request)
	is.NoErr(err)
	got, err := DecodeRequest(data)
	is.NoErr(err)
	is.Equal(got, request)
	reply := Reply{Loans: []SlotCount{{Instance: "i1", Slots: 3}}, LeaseMS: 1500, Recovery: &Recovery{Incarnation: 7, Number: 9}}
	data, err = EncodeReply(reply)
	is.NoErr(err)
	back, err := DecodeReply(data)
	is.NoErr(err)
	is.Equal(back, reply)
	for _, bad := range []Request{
		{Service: "drafts"},
		{Service: "drafts", Borrower: "n1", Wanted: [Classes]int{-1}},
		{Service: "drafts", Borrower: "n1", Held: []Holding{{Instance: "i", Slots: 1, Usable: 2}}},
		{Service: "drafts", Borrower: "n1", Handover: []SlotCount{{Instance: "i", Slots: -1}}},
	} {
		data, err = EncodeRequest(bad)
		is.NoErr(err)
		_, err = DecodeRequest(data)
		is.True(err != nil)
	}
}

// FuzzDecode checks that any input is either rejected or within bounds, and that
// a lender accepts it without losing slots.
func FuzzDecode(f *testing.F) {
	seed, _ := EncodeRequest(Request{Service: "s", Borrower: "b", Held: []Holding{{Instance: "i", Slots: 2, Usable: 1}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = DecodeReply(data)
		r, err := DecodeRequest(data)
		if err != nil {
			return
		}
		l := NewLender(Options{})
		if l.Receive(r, 0) != nil {
			return
		}
		total := 0
		for _, h := range r.Held {
			total += h.Slots
		}
		if l.Total() != total {
			t.Fatalf("%d slots lent, not %d", l.Total(), total)
		}
	})
}
