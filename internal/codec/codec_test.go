package codec

import (
	"testing"

	"github.com/matryer/is"
)

type row struct {
	Name string `cbor:"1,keyasint"`
}

// Symptom: two VMs apply one command differently. Sequence: bytes come that can
// be read in more than one way, or that an older build reads in part. Cause: a
// decoder that skips what it does not know.
func TestWhatCanBeReadTwoWaysIsRefused(t *testing.T) {
	is := is.New(t)
	good, err := Marshal(row{Name: "a"})
	is.NoErr(err)
	var r row
	is.NoErr(Unmarshal(good, &r))
	is.Equal(r.Name, "a")
	for name, data := range map[string]string{
		"a key twice":       "\xa2\x01\x61a\x01\x61b",
		"an unknown field":  "\xa2\x01\x61a\x02\x61b",
		"a map without end": "\xbf\x01\x61a\xff",
		"a tag":             "\xa1\x01\xc0\x61a",
		"cut short":         "\xa1\x01",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(Unmarshal([]byte(data), &r) != nil)
		})
	}
}
