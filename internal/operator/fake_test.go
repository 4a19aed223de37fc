package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/comfreyloom/comfreyloom/internal/audit"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// fakeLog applies each command at once, or fails before or after applying it.
type fakeLog struct {
	*state.Machine
	mu    sync.Mutex
	index uint64
	// errBeforeApply fails a proposal that is not applied, errAfterApply one
	// that is.
	errBeforeApply, errAfterApply error
}

func (l *fakeLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.errBeforeApply != nil {
		return state.Result{}, l.errBeforeApply
	}
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	l.index++
	result := l.Apply(l.index, data)
	return result, l.errAfterApply
}

func (l *fakeLog) Confirm(context.Context) (uint64, error) { return l.Applied(), nil }

func (l *fakeLog) WaitApplied(ctx context.Context, index uint64) error { return l.Wait(ctx, index) }

func (l *fakeLog) Leader() (model.NodeID, uint64) { return "n1", 3 }

// fakeInForce lists the nodes that are behind.
type fakeInForce []model.NodeID

func (f fakeInForce) WaitInForce(context.Context, uint64) []model.NodeID { return f }

// fakeAuthorizer accepts one token.
type fakeAuthorizer struct{}

func (fakeAuthorizer) Authorize(r *http.Request) (string, error) {
	if r.Header.Get("Authorization") != "Bearer good" {
		return "", errors.New("wrong token")
	}
	return "pipeline", nil
}

func newFakeLog() *fakeLog {
	return &fakeLog{Machine: state.NewMachine(state.Options{})}
}

func newHandler(l *fakeLog, behind ...model.NodeID) http.Handler {
	return New(Config{
		Site:       "port-klang",
		Log:        l,
		Authorizer: fakeAuthorizer{},
		InForce:    fakeInForce(behind),
		Audit:      audit.StateReader{Source: l},
		Logger:     &log.Logger{Handler: discard.Default, Level: log.FatalLevel},
		Clock:      func() time.Time { return time.UnixMilli(1000) },
	})
}

func send(h http.Handler, method, target, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer good")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// exampleManifest returns the example manifest with the given revision.
func exampleManifest(t testing.TB, revision int) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "port-klang", "site.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Replace(string(data), "revision = 1", fmt.Sprint("revision = ", revision), 1)
}
