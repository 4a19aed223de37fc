package security

import (
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

const (
	oldToken = "old-token-0123456789"
	newToken = "new-token-0123456789"
)

func TestTokenFiles(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		text, problem string
		tokens        int
	}{
		{"", "", 0},
		{"# nobody\n\n", "", 0},
		{oldToken + "\n pipeline: " + newToken + "\n", "", 2},
		{"short", "line 1: the token has 5 bytes, allowed: 16 to 512", 0},
		{oldToken + "\n: " + newToken, "line 2: the name before ':' is empty", 0},
		{"name:with a space in the middle", "line 1: the token may hold", 0},
		{strings.Repeat("x", 513), "line 1: the token has 513 bytes", 0},
		{strings.Repeat(oldToken+"\n", MaxTokens+1), "257 tokens, at most 256", 0},
		{strings.Repeat("#", maxFileBytes+1), "file is too large", 0},
		{strings.Repeat("#", 70<<10), "a line is too long", 0},
	} {
		n, err := ParseTokens([]byte(c.text))
		if c.problem == "" {
			is.NoErr(err)
			is.Equal(n, c.tokens)
			continue
		}
		is.True(errors.Is(err, ErrInvalidFile))
		is.True(strings.Contains(err.Error(), c.problem))
	}
}

// The token file is replaced, emptied, made invalid and removed while requests
// arrive. If it were not reloaded, a revoked token would still work and a new one
// would not; if any content were accepted, a mistake in the file would disconnect
// the VM.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "tokens")
	registry := metrics.NewRegistry()
	now := time.Unix(1_000_000, 0)
	write := func(text string) {
		is.NoErr(os.WriteFile(path+".new", []byte(text), 0o600))
		is.NoErr(os.Rename(path+".new", path))
	}
	_, err := open("nodes", path, registry, func() time.Time { return now })
	is.True(errors.Is(err, os.ErrNotExist)) // missing at start
	write("short")
	_, err = open("nodes", path, registry, func() time.Time { return now })
	is.True(errors.Is(err, ErrInvalidFile)) // invalid at start
	write("a:" + oldToken)
	a, err := open("nodes", path, registry, func() time.Time { return now })
	is.NoErr(err)
	try := func(header string) error {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", header)
		name, err := a.Authorize(r)
		is.Equal(name != "", err == nil)
		return err
	}
	is.NoErr(try("Bearer " + oldToken))
	is.Equal(try("Bearer "+newToken), ErrWrongToken)
	is.Equal(try("Basic "+oldToken), ErrNoToken)
	is.Equal(try(""), ErrNoToken)
	is.Equal(registry.Get("security.nodes.refused").(metrics.Counter).Count(), int64(3))

	write("a:" + oldToken + "\nb:" + newToken)
	now = now.Add(reloadIntervalOnMismatch) // an unknown token causes an early check
	is.NoErr(try("Bearer " + newToken))
	is.Equal(a.Token(), oldToken) // the first one is sent
	write("b:" + newToken)
	now = now.Add(reloadInterval)
	is.Equal(try("Bearer "+oldToken), ErrWrongToken) // revoked
	is.Equal(a.Token(), newToken)

	write("short")
	now = now.Add(reloadInterval)
	is.NoErr(try("Bearer " + newToken)) // an invalid file leaves the tokens valid
	is.NoErr(os.Remove(path))
	now = now.Add(reloadInterval)
	is.NoErr(try("Bearer " + newToken))
	is.Equal(registry.Get("security.nodes.reload_failed").(metrics.Counter).Count(), int64(2))
	write("# nobody")
	now = now.Add(reloadInterval)
	is.Equal(try("Bearer "+newToken), ErrWrongToken) // a file without tokens refuses every request
	is.Equal(a.Token(), "")

	open, err := Open("operators", "", registry)
	is.NoErr(err)
	name, err := open.Authorize(httptest.NewRequest("GET", "/", nil))
	is.NoErr(err)
	is.Equal(name, Anonymous)
}

func FuzzTokenFile(f *testing.F) {
	f.Add([]byte("a:" + oldToken + "\n#\n" + newToken))
	f.Add([]byte(":\n::"))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := parseTokens(text)
		if err != nil && !errors.Is(err, ErrInvalidFile) {
			t.Fatalf("unexpected error %v", err)
		}
		for _, token := range set {
			if _, ok := set.find(token.secret); !ok || len(token.secret) < MinTokenBytes {
				t.Fatalf("token of %q is not found or too short", token.name)
			}
		}
	})
}
