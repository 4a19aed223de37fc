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

// minCompressBytes is the size from which a response is compressed.
const minCompressBytes = 512

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 32 << 20

// Handler serves a platform over HTTP according to docs/interface/platform.md. If
// the client returns an error with the verdict MayHaveRun, the connection is
// closed without a response; with NotRun the response is 503.
func Handler(c platform.Client) http.Handler {
	router := httprouter.New()
	router.GET(platform.PathVMs, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := c.VMs(r.Context(), cursorOf(r))
		respond(w, r, list, err)
	})
	router.GET(platform.PathTasks, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := c.Tasks(r.Context(), cursorOf(r))
		respond(w, r, list, err)
	})
	router.GET(platform.PathUsage, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		list, err := c.Usage(r.Context(), cursorOf(r))
		respond(w, r, list, err)
	})
	router.GET(platform.PathTasks+"/*task", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		respondTask(w, r, c, model.TaskID(params.ByName("task")[1:]))
	})
	router.POST(platform.PathCommands, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		handleCommands(w, r, c)
	})
	return router
}

func cursorOf(r *http.Request) platform.Cursor {
	return platform.Cursor(r.URL.Query().Get(platform.QuerySince))
}

func respondTask(w http.ResponseWriter, r *http.Request, c platform.Client, id model.TaskID) {
	report, known, err := c.Task(r.Context(), id)
	if err == nil && !known {
		http.Error(w, "unknown task", http.StatusNotFound)
		return
	}
	respond(w, r, report, err)
}

func handleCommands(w http.ResponseWriter, r *http.Request, c platform.Client) {
	var request platform.CommandRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		http.Error(w, "body is not a list of commands: "+err.Error(), http.StatusBadRequest)
		return
	}
	answers, err := c.Send(r.Context(), request.Commands)
	respond(w, r, platform.CommandResponse{Answers: answers}, err)
}

func respond(w http.ResponseWriter, r *http.Request, response any, err error) {
	if err != nil {
		if platform.VerdictOf(err) != model.NotRun {
			panic(http.ErrAbortHandler)
		}
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	body, err := json.Marshal(response)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if len(body) < minCompressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(body)
	_ = z.Close()
}
