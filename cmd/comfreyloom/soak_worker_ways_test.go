package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"
)

// endWay is a way in which a worker process ends or can't be reached.
type endWay struct {
	name string
	// relayed: the worker is reached through a relay.
	relayed bool
	// probe: the protocol doesn't plainly allow it, so it plays only when it is chosen.
	probe bool
	play  func(*workerPlace)
}

// endWays are the ways that TestWorkerProcessSoak plays.
var endWays = []endWay{
	{name: "leave", play: func(p *workerPlace) { p.leave("open") }},
	{name: "leave-lost", play: func(p *workerPlace) { p.leave("lost") }},
	{name: "closed", play: func(p *workerPlace) { p.leave("closed") }},
	{name: "closed-lost", play: func(p *workerPlace) { p.leave("closed,lost") }},
	{name: "kill", play: func(p *workerPlace) { p.worker.kill() }},
	{name: "pause", play: (*workerPlace).pause},
	{name: "drain-pause", play: func(p *workerPlace) { p.drainAnd((*workerPlace).pause) }},
	{name: "cut", relayed: true, play: (*workerPlace).cut},
	{name: "drain-cut", relayed: true, play: func(p *workerPlace) { p.drainAnd((*workerPlace).cut) }},
	{name: "refuse", relayed: true, play: (*workerPlace).refuse},
	{name: "drain-refuse", relayed: true, play: func(p *workerPlace) { p.drainAnd((*workerPlace).refuse) }},
	{name: "reset", relayed: true, play: (*workerPlace).reset},
	{name: "drain-reset", relayed: true, play: func(p *workerPlace) { p.drainAnd((*workerPlace).reset) }},
	{name: "handover", probe: true, play: (*workerPlace).handOver},
	{name: "unlisted", probe: true, play: func(p *workerPlace) { p.worker.order("unlisted 200") }},
}

// workerPlace is an address at which one incarnation of a worker follows another.
type workerPlace struct {
	soak   *processSoak
	index  int
	random *rand.Rand
	ways   []endWay

	listen string
	worker *workerProcess
	starts int
	// relay stands in front of the worker at the address reported, nil without one.
	relay    *relay
	link     link
	listener net.Listener
}

// between returns a random time, in milliseconds.
func (p *workerPlace) between(minMS, maxMS int) time.Duration {
	return time.Duration(minMS+p.random.IntN(maxMS-minMS)) * time.Millisecond
}

// live plays one way after another until stop is closed, and leaves a worker that runs.
func (p *workerPlace) live(stop <-chan struct{}) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(p.between(200, 2500)):
		}
		way := p.ways[p.random.IntN(len(p.ways))]
		p.soak.note("%s: %s", p.worker.id, way.name)
		way.play(p)
		if p.worker.hasEnded() {
			time.Sleep(p.between(0, 1500))
			if err := p.start(); err != nil {
				return err
			}
		}
	}
}

// start starts the next incarnation.
func (p *workerPlace) start() error {
	reported := ""
	if p.relay != nil {
		reported = p.link.listen
	}
	p.starts++
	id := fmt.Sprintf("i-%d-%d", p.index, p.starts)
	worker, err := startWorkerProcess(id, p.listen, reported, p.soak.operators(), p.soak.runs, io.Discard)
	if err == nil {
		p.worker = worker
		p.soak.note("%s: pid %d", id, worker.process.Process.Pid)
	}
	return err
}

// leave has the worker drain, send its notice and end.
func (p *workerPlace) leave(ways string) {
	p.worker.order("drain")
	time.Sleep(drainTime + p.between(0, 1500))
	p.worker.order("leave %d %s", p.between(2000, 4000).Milliseconds(), ways)
	<-p.worker.ended
}

// handOver has the worker leave and starts the next incarnation at its address as soon as
// it listens no more, while its runs continue.
func (p *workerPlace) handOver() {
	p.worker.order("drain")
	time.Sleep(drainTime)
	p.worker.order("leave %d closed,lost", p.between(2000, 4000).Milliseconds())
	leaving := p.worker
	for range 20 {
		time.Sleep(p.between(50, 300))
		if err := p.start(); err != nil {
			p.soak.t.Errorf("worker %d: %v", p.index, err)
			return
		}
		if time.Sleep(p.between(200, 300)); !p.worker.hasEnded() {
			break
		}
	}
	<-leaving.ended
}

// drainAnd has the worker drain through a fault and leave afterwards.
func (p *workerPlace) drainAnd(fault func(*workerPlace)) {
	p.worker.order("drain")
	time.Sleep(p.between(50, 800))
	fault(p)
	time.Sleep(p.between(100, 3000))
	p.leave([]string{"open", "lost"}[p.random.IntN(2)])
}

// pause stops the process for some seconds.
func (p *workerPlace) pause() {
	from := time.Now()
	_ = p.worker.process.Process.Signal(syscall.SIGSTOP) // it may have ended
	time.Sleep(p.between(1000, 8000))
	_ = p.worker.process.Process.Signal(syscall.SIGCONT)
	to := time.Now()
	p.soak.runs.recordPause(p.worker.id, pause{from, to})
	p.soak.note("%s: was paused for %v", p.worker.id, to.Sub(from))
}

// cut drops the bytes in one or both directions, on all or on the open connections.
func (p *workerPlace) cut() {
	forth, back := direction{p.link.from, p.link.to}, direction{p.link.to, p.link.from}
	switch p.random.IntN(4) {
	case 0:
		p.relay.configure(0, forth)
	case 1:
		p.relay.configure(0, back)
	case 2:
		p.relay.configure(0, forth, back)
	default:
		p.relay.blackhole()
	}
	time.Sleep(p.between(300, 8000))
	p.relay.configure(0)
}

// refuse closes the relay's listener, and with it some or none of its connections.
func (p *workerPlace) refuse() {
	_ = p.listener.Close()
	if p.random.IntN(2) == 0 {
		p.relay.reset()
	}
	time.Sleep(p.between(100, 4000))
	if err := p.openRelay(); err != nil {
		p.soak.t.Errorf("relay of worker %d: %v", p.index, err)
	}
}

// reset resets the open connections a few times.
func (p *workerPlace) reset() {
	for range 1 + p.random.IntN(10) {
		p.relay.reset()
		time.Sleep(p.between(5, 300))
	}
}

// openRelay lets the relay listen.
func (p *workerPlace) openRelay() error {
	listener, err := net.Listen("tcp", p.link.listen)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.relay.serve(p.link, listener)
	return nil
}

// waysNamed returns the ways with these names, separated by commas; without names all
// that are no probes.
func waysNamed(names string) []endWay {
	var ways []endWay
	for _, way := range endWays {
		if names == "" && !way.probe || strings.Contains(","+names+",", ","+way.name+",") {
			ways = append(ways, way)
		}
	}
	return ways
}
