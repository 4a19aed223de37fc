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
	// reloadEvery is how old the knowledge about the file may be.
	reloadEvery = 2 * time.Second
	// reloadOnFailure bounds how often wrong tokens make the file be looked at.
	reloadOnFailure = 200 * time.Millisecond
)

// ErrNoToken says that a request has no bearer token.
var ErrNoToken = errors.New("security: no bearer token")

// ErrWrongToken says that a request's bearer token is not in the file.
var ErrWrongToken = errors.New("security: wrong bearer token")

// Anonymous is the name of a peer whose token has none, or of any peer of an
// open listener.
const Anonymous = "anonymous"

// Authorizer checks requests of one kind of peer. It is safe for concurrent use.
type Authorizer struct {
	path  string
	clock func() time.Time

	refused, failedReloads metrics.Counter

	mu     sync.Mutex
	tokens tokenSet
	stamp  stamp
	looked time.Time
}

// stamp tells one content of a file from another without reading it.
type stamp struct {
	size     int64
	modified time.Time
	file     os.FileInfo
}

// Open reads the token file of one kind of peer; an empty path gives an
// authorizer that accepts every request. Counters go to registry under
// "security.<kind>.".
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
	seen, err := look(path)
	if err != nil {
		return nil, oops.In("security").With("kind", kind, "file", path).Wrapf(err, "token file")
	}
	a.tokens, err = readFile(path)
	if err != nil {
		return nil, oops.In("security").With("kind", kind, "file", path).Wrapf(err, "token file")
	}
	a.stamp, a.looked = seen, clock()
	return a, nil
}

// IsOpen reports whether the listener accepts requests without a token.
func (a *Authorizer) IsOpen() bool { return a.path == "" }

// Authorize returns the name of the peer that sent a request. Errors are
// ErrNoToken and ErrWrongToken; both are counted.
func (a *Authorizer) Authorize(r *http.Request) (string, error) {
	if a.IsOpen() {
		return Anonymous, nil
	}
	secret, found := bearer(r)
	if !found {
		a.refused.Inc(1)
		return "", ErrNoToken
	}
	name, ok := a.check(secret)
	if !ok {
		a.refused.Inc(1)
		return "", ErrWrongToken
	}
	if name == "" {
		name = Anonymous
	}
	return name, nil
}

// Token returns the token that this process sends: the first of the file,
// empty for an open listener or a file without tokens.
func (a *Authorizer) Token() string {
	if a.IsOpen() {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reload(reloadEvery)
	if len(a.tokens) == 0 {
		return ""
	}
	return a.tokens[0].secret
}

func (a *Authorizer) check(secret string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reload(reloadEvery)
	name, ok := a.tokens.find(secret)
	if ok {
		return name, true
	}
	// The token may have been added a moment ago.
	if !a.reload(reloadOnFailure) {
		return "", false
	}
	return a.tokens.find(secret)
}

// reload takes in a changed file unless it was looked at within age, and
// reports whether the tokens changed. A file that became unreadable or
// invalid leaves the tokens as they are: otherwise a mistake in one file
// would cut this VM off from all others.
func (a *Authorizer) reload(age time.Duration) bool {
	now := a.clock()
	if now.Sub(a.looked) < age {
		return false
	}
	a.looked = now
	seen, err := look(a.path)
	if err != nil {
		a.failedReloads.Inc(1)
		return false
	}
	if seen.same(a.stamp) {
		return false
	}
	tokens, err := readFile(a.path)
	if err != nil {
		a.failedReloads.Inc(1)
		return false
	}
	a.tokens, a.stamp = tokens, seen
	return true
}

func look(path string) (stamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}, err
	}
	return stamp{size: info.Size(), modified: info.ModTime(), file: info}, nil
}

func (s stamp) same(o stamp) bool {
	return s.size == o.size && s.modified.Equal(o.modified) && os.SameFile(s.file, o.file)
}

func bearer(r *http.Request) (string, bool) {
	scheme, secret, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || secret == "" || len(secret) > MaxTokenBytes {
		return "", false
	}
	return secret, true
}
