package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entryLog = `{"time":"2026-01-18T14:00:01Z","level":"info","message":"answered","fields":{"id":"a1","kind":"submit","status":504,"took_ms":1050,"error":"control: the request may have run"}}
{"time":"2026-01-18T14:00:03Z","level":"info","message":"answered","fields":{"id":"a1","kind":"submit","status":200,"took_ms":9}}
{"time":"2026-01-18T14:00:03Z","level":"info","message":"answered","fields":{"id":"a11","kind":"submit","status":200,"took_ms":9}}
not a log line
`

const coreLog = `core-1 {"time":"2026-01-18T14:00:00Z","level":"info","message":"worker announced","fields":{"worker":"w1","pool":"p","draining":false}}
core-1 {"time":"2026-01-18T14:00:00.5Z","level":"info","message":"no longer leading","fields":{"term":2}}
core-1 {"time":"2026-01-18T14:00:02Z","level":"info","message":"leading","fields":{"term":3}}
core-1 {"time":"2026-01-18T14:00:03.1Z","level":"info","message":"runs committed","fields":{"job":"a1","occurrence":0,"step":0,"runs":"0@w1#1 1@w2#1","term":3}}
core-1 {"time":"2026-01-18T14:00:04Z","level":"info","message":"balance","fields":{"pool":"p","have_mcpu":64000,"need_mcpu":96000}}
core-1 {"time":"2026-01-18T14:00:04Z","level":"info","message":"balance","fields":{"pool":"q","have_mcpu":64000,"need_mcpu":96000}}
core-1 {"time":"2026-01-18T14:00:04.5Z","level":"warn","message":"worker does not answer","fields":{"worker":"w2","age_ms":300}}
core-1 {"time":"2026-01-18T14:00:04.6Z","level":"warn","message":"worker does not answer","fields":{"worker":"w9","age_ms":300}}
core-1 {"time":"2026-01-18T14:00:08Z","level":"info","message":"run evicted","fields":{"task":"a1/0/0/0","attempt":1,"worker":"w1","percent":100,"why":"its VM is to be maintained","list_age_ms":40}}
core-1 {"time":"2026-01-18T14:00:09Z","level":"info","message":"run released","fields":{"job":"a1","task":"a1/0/0/1","attempt":1,"worker":"w2","term":3}}
core-1 {"time":"2026-01-18T14:10:00Z","level":"info","message":"leading","fields":{"term":4}}
`

func readBoth(t *testing.T) []Line {
	t.Helper()
	is := is.New(t)
	entry, skipped, err := Read(strings.NewReader(entryLog), "entry-1")
	is.NoErr(err)
	is.Equal(skipped, 1)
	core, _, err := Read(strings.NewReader(coreLog), "other")
	is.NoErr(err)
	return append(core, entry...)
}

// A timeline contains the lines of all processes that mention the id, in the order
// of time, and of the other lines only those that affect it.
func TestTimelineContainsLinesOfIDAndContext(t *testing.T) {
	is := is.New(t)
	var got []string
	for _, e := range Timeline(readBoth(t), "a1") {
		mark := ""
		if e.Context {
			mark = "| "
		}
		got = append(got, mark+e.Source+": "+e.Description)
	}
	is.Equal(strings.Join(got, "\n"), strings.Join([]string{
		"| core-1: this VM no longer leads; nothing is accepted until another one does",
		"entry-1: submit given up: it may or may not have been taken; the next try with this id tells after 1050 ms (504): control: the request may have run",
		"| core-1: this VM leads from here, term 3",
		"entry-1: submit accepted after 9 ms (200)",
		"core-1: step 0 starts: 0@w1#1 1@w2#1 (task@worker#attempt)",
		"| core-1: pool p has 64 of 96 cores that it needs",
		"| core-1: worker w2 does not answer; its last word is 300 ms old",
		"core-1: task a1/0/0/0 at 100 % on w1 is to be stopped: its VM is to be maintained; the list was 40 ms old",
		"core-1: task a1/0/0/1, attempt 1, is given up on w2: it surely does not run there",
	}, "\n"))
}

func TestTimelineOfWorker(t *testing.T) {
	is := is.New(t)
	idLines := 0
	for _, e := range Timeline(readBoth(t), "w2") {
		if !e.Context {
			idLines++
		}
	}
	is.Equal(idLines, 3) // runs committed, worker does not answer, run released
	is.Equal(len(Timeline(readBoth(t), "w")), 0)
}
