package security

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

const (
	// reloadInterval is the longest time between checks of the file for changes
	// while requests arrive.
	reloadInterval = 2 * time.Second
	// reloadIntervalOnMismatch is the shortest time between checks of the file that
	// are caused by wrong tokens.
	reloadIntervalOnMismatch = 200 * time.Millisecond
)

// ErrNoToken is returned for a request without a bearer token.
var ErrNoToken = errors.New("security: no bearer token")

// ErrWrongToken is returned for a request whose bearer token is not in the file.
var ErrWrongToken = errors.New("security: wrong bearer token")

// Anonymous is the name of a peer whose token has no name, and of every peer of an
// open listener.
const Anonymous = "anonymous"

// Authorizer checks the bearer tokens of one kind of peer. It is safe for
// concurrent use.
type Authorizer struct {
	path  string
	clock func() time.Time

	refused, failedReloads metrics.Counter

	mu        sync.Mutex
	tokens    tokenSet
	loaded    fileVersion
	checkedAt time.Time
}

// fileVersion identifies the content of a file without reading it.
type fileVersion struct {
	size     int64
	modified time.Time
	info     os.FileInfo
}

// Open reads the token file of one kind of peer; with an empty path the authorizer
// accepts every request. Its counters are registered under "security.<kind>.".
func Open(kind, path string, registry metrics.Registry) (*Authorizer, error) {
	return open(kind, path, registry, time.Now)
}

func open(kind, path string, registry metrics.Registry, clock func() time.Time) (*Authorizer, error) {
	a := &Authorizer{path: path, clock: clock}
	a.refused = metrics.GetOrRegisterCounter("security."+kind+".refused", registry)
	a.failedReloads = metrics.GetOrRegisterCounter("security."+kind+".reload_failed", registry)
	if path == "" {
		return a, nil
	}
	version, err := statFile(path)
	if err != nil {
		return nil, oops.In("security").With("kind", kind, "file", path).Wrapf(err, "token file")
	}
	a.tokens, err = readTokenFile(path)
	if err != nil {
		return nil, oops.In("security").With("kind", kind, "file", path).Wrapf(err, "token file")
	}
	a.loaded, a.checkedAt = version, clock()
	return a, nil
}

// IsOpen reports whether the listener accepts requests without a token.
func (a *Authorizer) IsOpen() bool { return a.path == "" }

// Authorize returns the name of the peer that sent a request. Its errors are
// ErrNoToken and ErrWrongToken; it counts both.
func (a *Authorizer) Authorize(r *http.Request) (string, error) {
	if a.IsOpen() {
		return Anonymous, nil
	}
	secret, found := bearer(r)
	if !found {
		a.refused.Inc(1)
		return "", ErrNoToken
	}
	name, ok := a.findToken(secret)
	if !ok {
		a.refused.Inc(1)
		return "", ErrWrongToken
	}
	if name == "" {
		name = Anonymous
	}
	return name, nil
}

// Token returns the token that this process sends: the first one in the file, or
// an empty string for an open listener or a file without tokens.
func (a *Authorizer) Token() string {
	if a.IsOpen() {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reload(reloadInterval)
	if len(a.tokens) == 0 {
		return ""
	}
	return a.tokens[0].secret
}

func (a *Authorizer) findToken(secret string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reload(reloadInterval)
	name, ok := a.tokens.find(secret)
	if ok {
		return name, true
	}
	// The token may have just been added to the file.
	if !a.reload(reloadIntervalOnMismatch) {
		return "", false
	}
	return a.tokens.find(secret)
}

// reload reads the file if it has changed and reports whether it did. It does
// nothing when the last check is less than age ago. A file that became unreadable
// or invalid leaves the tokens unchanged: otherwise a mistake in one file would
// disconnect this VM from all others.
func (a *Authorizer) reload(age time.Duration) bool {
	now := a.clock()
	if now.Sub(a.checkedAt) < age {
		return false
	}
	a.checkedAt = now
	version, err := statFile(a.path)
	if err != nil {
		a.failedReloads.Inc(1)
		return false
	}
	if version.equal(a.loaded) {
		return false
	}
	tokens, err := readTokenFile(a.path)
	if err != nil {
		a.failedReloads.Inc(1)
		return false
	}
	a.tokens, a.loaded = tokens, version
	return true
}

func statFile(path string) (fileVersion, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{size: info.Size(), modified: info.ModTime(), info: info}, nil
}

func (v fileVersion) equal(other fileVersion) bool {
	return v.size == other.size && v.modified.Equal(other.modified) && os.SameFile(v.info, other.info)
}

// bearer returns the bearer token of a request.
func bearer(r *http.Request) (string, bool) {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > MaxTokenBytes {
		return "", false
	}
	return secret, true
}
