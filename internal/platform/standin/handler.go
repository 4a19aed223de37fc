package standin

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// compressFrom is the size from which an answer is compressed, in bytes.
const compressFrom = 512

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 32 << 20

// Handler serves a platform over HTTP as docs/interface/platform.md says. An
// error of the client whose verdict is MayHaveRun closes the connection
// without an answer; one with NotRun answers 503.
func Handler(c platform.Client) http.Handler {
	router := httprouter.New()
	router.GET(platform.PathVMs, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := c.VMs(r.Context(), since(r))
		reply(w, r, list, err)
	})
	router.GET(platform.PathTasks, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := c.Tasks(r.Context(), since(r))
		reply(w, r, list, err)
	})
	router.GET(platform.PathUsage, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := c.Usage(r.Context(), since(r))
		reply(w, r, list, err)
	})
	router.GET(platform.PathTasks+"/*task", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		replyTask(w, r, c, model.TaskID(params.ByName("task")[1:]))
	})
	router.POST(platform.PathCommands, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		takeCommands(w, r, c)
	})
	return router
}

func since(r *http.Request) platform.Cursor {
	return platform.Cursor(r.URL.Query().Get(platform.QuerySince))
}

func replyTask(w http.ResponseWriter, r *http.Request, c platform.Client, id model.TaskID) {
	report, known, err := c.Task(r.Context(), id)
	if err == nil && !known {
		http.Error(w, "unknown task", http.StatusNotFound)
		return
	}
	reply(w, r, report, err)
}

func takeCommands(w http.ResponseWriter, r *http.Request, c platform.Client) {
	var request platform.CommandRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		http.Error(w, "body is not a list of commands: "+err.Error(), http.StatusBadRequest)
		return
	}
	answers, err := c.Send(r.Context(), request.Commands)
	reply(w, r, platform.CommandAnswer{Answers: answers}, err)
}

func reply(w http.ResponseWriter, r *http.Request, answer any, err error) {
	if err != nil {
		if platform.VerdictOf(err) != model.NotRun {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(body) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(body)
	_ = z.Close()
}
