package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

// upstreamMain runs one instance of a service as a process, which shuts down
// gracefully at SIGTERM. At its control address it serves GET /most/PREFIX/N,
// GET /total and POST /leave.
func upstreamMain() {
	var o standin.Options
	control := flag.String("control", "", "IP:port that steers the instance")
	announce := flag.String("announce", "", "base URLs at which it announces itself")
	flag.StringVar(&o.Listen, "listen", "127.0.0.1:0", "IP:port for requests")
	flag.StringVar(&o.Service, "service", "drafts", "")
	flag.StringVar(&o.Instance, "instance", "drafts-1", "")
	flag.IntVar(&o.Slots, "slots", 8, "")
	flag.DurationVar(&o.Latency, "latency", 0, "how long each request runs")
	flag.Parse()
	if *announce != "" {
		o.Announce = strings.Split(*announce, ",")
	}
	o.VM, o.AvailabilityZone, o.Renew = "kl/vm-1-1-1", "kl-a", 300*time.Millisecond
	u, err := standin.Start(o)
	exitOn(err)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go u.Run(ctx)
	if *control != "" {
		go serveOrExit(*control, upstreamControl(u))
	}
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	exitOn(u.Shutdown(bounded))
	fmt.Printf("total: %d\n", u.Total())
}

func upstreamControl(u *standin.Upstream) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /leave", func(_ http.ResponseWriter, r *http.Request) { _ = u.Leave(r.Context()) })
	mux.HandleFunc("GET /total", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "total: %d\n", u.Total()) })
	mux.HandleFunc("GET /most/{prefix}/{n}", countRuns(u.Runs))
	return mux
}
