// Package demo runs a small site in one process over real loopback sockets: three
// entry VMs, the stand-in of the platform and stand-in upstreams. It uses them
// only through the listeners of callers and operators, and prints a report with
// the three measures.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/agent"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

// Site is a running demo site.
type Site struct {
	addresses   []addresses
	instances   *Instances
	platform    *standin.Platform
	folder      string
	agents      []*agent.Agent
	cancel      context.CancelFunc
	tasks       conc.WaitGroup
	failures    chan error
	platformAPI *http.Server
}

// Run starts a site, runs all steps on it, and writes the report to out.
// The error is nil only if every step succeeded and every invariant held.
func Run(ctx context.Context, out io.Writer, logger log.Interface) error {
	site, err := Start(logger)
	if err != nil {
		return err
	}
	report, err := site.steps(ctx)
	if stopErr := site.Stop(); err == nil {
		err = stopErr
	}
	report.write(out)
	return err
}

// Start starts the platform and the entry VMs.
func Start(logger log.Interface) (*Site, error) {
	folder, err := os.MkdirTemp("", "comfreyloom-demo-")
	if err != nil {
		return nil, oops.In("demo").Wrapf(err, "make a temporary data folder")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{folder: folder, cancel: cancel, failures: make(chan error, entryVMs)}
	if err := s.start(ctx, logger); err != nil {
		_ = s.Stop()
		return nil, oops.In("demo").Wrapf(err, "start")
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, logger log.Interface) error {
	listeners, err := listen()
	if err != nil {
		return err
	}
	for _, l := range listeners {
		s.addresses = append(s.addresses, addressesOf(l))
	}
	address, err := s.startPlatform(ctx)
	if err != nil {
		return err
	}
	for i, l := range listeners {
		if err := s.startAgent(ctx, i, l, address, logger); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startPlatform(ctx context.Context) (string, error) {
	s.instances = &Instances{Latency: requestTime}
	for _, a := range s.addresses {
		s.instances.Announce = append(s.instances.Announce, "http://"+a.upstreams)
	}
	now := func() model.Instant { return model.InstantOf(time.Now()) }
	s.platform = standin.New(standin.Config{
		VMs: vms(), Now: now, Start: now(), RebootTime: rebootTime, StopGrace: stopGrace,
		UsageInterval: time.Second, UsageLag: time.Second,
		Behaviour: func(platform.TaskSpec) standin.Work { return standin.Work{Runtime: jobTime} },
		OnStart:   s.instances.Start, OnStop: s.instances.Stop,
	})
	s.tasks.Go(func() { s.platform.Run(ctx) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.platformAPI = &http.Server{Handler: standin.Handler(s.platform), ReadHeaderTimeout: time.Second}
	s.tasks.Go(func() { _ = s.platformAPI.Serve(l) })
	return l.Addr().String(), nil
}

func (s *Site) startAgent(ctx context.Context, i int, l *agent.Listeners, platform string, logger log.Interface) error {
	parsed, err := settingsOf(i, s.addresses, s.folder, platform)
	if err != nil {
		return err
	}
	a, err := agent.New(parsed, agent.Options{Listeners: l, Logger: logger, Tune: shortenIntervals})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.tasks.Go(func() {
		if err := a.Run(ctx); err != nil {
			s.failures <- oops.In("demo").Wrapf(err, "entry-%d", i+1)
		}
	})
	return nil
}

// Stop stops the entry VMs gracefully, then the rest, and returns the first
// error of an entry VM.
func (s *Site) Stop() error {
	s.cancel()
	if s.platformAPI != nil {
		_ = s.platformAPI.Close()
	}
	s.tasks.Wait()
	if s.instances != nil {
		s.instances.Close()
	}
	close(s.failures)
	if err := os.RemoveAll(s.folder); err != nil {
		return fmt.Errorf("remove the temporary data folder: %w", err)
	}
	return <-s.failures
}
