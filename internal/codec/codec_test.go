package codec

import (
	"testing"

	"github.com/matryer/is"
)

type row struct {
	Name string `cbor:"1,keyasint"`
}

// Guards against two VMs that apply one command differently because the bytes
// can be read in more than one way, or an older build skips a part of them that
// it does not know.
func TestAmbiguousEncodingIsRefused(t *testing.T) {
	is := is.New(t)
	good, err := Marshal(row{Name: "a"})
	is.NoErr(err)
	var r row
	is.NoErr(Unmarshal(good, &r))
	is.Equal(r.Name, "a")
	for name, data := range map[string]string{
		"duplicate key":         "\xa2\x01\x61a\x01\x61b",
		"unknown field":         "\xa2\x01\x61a\x02\x61b",
		"indefinite-length map": "\xbf\x01\x61a\xff",
		"a tag":                 "\xa1\x01\xc0\x61a",
		"truncated map":         "\xa1\x01",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(Unmarshal([]byte(data), &r) != nil)
		})
	}
}
