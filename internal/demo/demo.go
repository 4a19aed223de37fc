// Package demo runs a small site in one process over real loopback sockets:
// three entry VMs, the platform's stand-in and stand-in upstreams. It drives
// them only through the listeners that callers and operators use, and reports
// what happened with the three measures.
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
	addresses []addresses
	instances *Instances
	platform  *standin.Platform
	folder    string
	agents    []*agent.Agent
	end       context.CancelFunc
	running   conc.WaitGroup
	failures  chan error
	api       *http.Server
}

// Run starts a site, takes it through all steps, and writes the report to out.
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
	ctx, end := context.WithCancel(context.Background())
	s := &Site{folder: folder, end: end, failures: make(chan error, entryVMs)}
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
	s.running.Go(func() { s.platform.Run(ctx) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.api = &http.Server{Handler: standin.Handler(s.platform), ReadHeaderTimeout: time.Second}
	s.running.Go(func() { _ = s.api.Serve(l) })
	return l.Addr().String(), nil
}

func (s *Site) startAgent(ctx context.Context, i int, l *agent.Listeners, platform string, logger log.Interface) error {
	parsed, err := settingsOf(i, s.addresses, s.folder, platform)
	if err != nil {
		return err
	}
	a, err := agent.New(parsed, agent.Options{Listeners: l, Logger: logger, Tune: quicken})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.running.Go(func() {
		if err := a.Run(ctx); err != nil {
			s.failures <- oops.In("demo").Wrapf(err, "entry-%d", i+1)
		}
	})
	return nil
}

// Stop stops the entry VMs gracefully, then the rest, and returns the first
// error of an entry VM.
func (s *Site) Stop() error {
	s.end()
	if s.api != nil {
		_ = s.api.Close()
	}
	s.running.Wait()
	if s.instances != nil {
		s.instances.Close()
	}
	close(s.failures)
	if err := os.RemoveAll(s.folder); err != nil {
		return fmt.Errorf("remove the temporary data folder: %w", err)
	}
	return <-s.failures
}
