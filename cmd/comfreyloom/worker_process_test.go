package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
	"github.com/comfreyloom/comfreyloom/platform/standin"
)

// workerMain is a worker as a process of its own. It writes a line for each event of a
// run: the time in Unix nanoseconds, the event, the task and, for an end, its kind. It
// reads its orders from its standard input, and exits when that ends:
//
//	drain               reports that it will end
//	leave MS WAYS       sends its notice, and ends with the acknowledgement or after MS;
//	                    WAYS may name "lost" (acknowledgements are lost) and "closed"
//	                    (the listener closes with the first notice)
//	unlisted MS         leaves new runs out of its lists
func workerMain() {
	id := flag.String("id", "", "id of the worker")
	listen := flag.String("listen", "", "IP:port at which it listens")
	reported := flag.String("reported", "", "IP:port that it reports")
	cores := flag.String("cores", "", "addresses of the core VMs")
	flag.Parse()
	w, err := standin.StartRelayedWorker(*id, *listen, *reported, "p", strings.Split(*cores, ","), eventWriter{})
	exitOn(err)
	w.SetPercentTime(processPercentTime)
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		var order, ways string
		var ms int
		_, _ = fmt.Sscan(lines.Text(), &order, &ms, &ways) // an order may have no operands
		limit := time.Duration(ms) * time.Millisecond
		switch order {
		case "drain":
			w.Drain()
		case "unlisted":
			w.DelayListing(limit)
		case "leave":
			if strings.Contains(ways, "closed") {
				go w.StopListening()
			}
			w.Leave(limit, strings.Contains(ways, "lost"))
			return
		}
	}
}

// eventWriter writes the events of a worker process.
type eventWriter struct{}

func (eventWriter) write(event, task, kind string) {
	_, _ = fmt.Printf("%d %s %s %s\n", time.Now().UnixNano(), event, task, kind) // without a reader the process is about to end
}

// Started implements standin.Watcher.
func (w eventWriter) Started(_, task string) { w.write("started", task, "-") }

// Ended implements standin.Watcher.
func (w eventWriter) Ended(_, task string, kind workload.EndKind) {
	name := exitKind
	if kind != 0 {
		name = kind.String()
	}
	w.write("ended", task, name)
}

// Acked implements standin.Watcher.
func (w eventWriter) Acked(task string) { w.write("acked", task, "-") }

// workerProcess is the test's side of a worker process.
type workerProcess struct {
	id      string
	process *exec.Cmd
	orders  io.WriteCloser
	// ended is closed once it has ended and all its events are recorded.
	ended chan struct{}

	mu       sync.Mutex
	killedAt time.Time
}

// startWorkerProcess starts a worker whose events go to a ledger.
func startWorkerProcess(id, listen, reported string, cores []string, ledger *runLedger, output io.Writer) (*workerProcess, error) {
	w := &workerProcess{id: id, ended: make(chan struct{})}
	w.process = exec.Command("worker", "-id", id, "-listen", listen, "-reported", reported, "-cores", strings.Join(cores, ","))
	w.process.Stderr = output
	events, err := w.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if w.orders, err = w.process.StdinPipe(); err != nil {
		return nil, err
	}
	if err := w.process.Start(); err != nil {
		return nil, err
	}
	go w.follow(events, ledger)
	return w, nil
}

// follow records the events of the process until its end.
func (w *workerProcess) follow(events io.Reader, ledger *runLedger) {
	defer close(w.ended)
	lines := bufio.NewScanner(events)
	for lines.Scan() {
		ledger.record(w.id, lines.Text())
	}
	end := time.Now()
	_ = w.process.Wait() // a signal kills it, or it leaves
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.killedAt.IsZero() {
		end = w.killedAt
	}
	ledger.recordDeath(w.id, end)
}

// order sends an order; a process that has ended ignores it.
func (w *workerProcess) order(format string, args ...any) {
	_, _ = fmt.Fprintf(w.orders, format+"\n", args...)
}

// kill ends the process at once. Its runs count as ended from before the signal.
func (w *workerProcess) kill() {
	w.mu.Lock()
	w.killedAt = time.Now()
	w.mu.Unlock()
	_ = w.process.Process.Kill() // it may have ended
	<-w.ended
}

func (w *workerProcess) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}
