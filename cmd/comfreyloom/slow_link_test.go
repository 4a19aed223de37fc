package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkVariable holds the bandwidth of a process's link to the others, in bytes a
// second.
const linkVariable = "COMFREYLOOM_TEST_LINK"

// entryLink is the bandwidth of an entry VM of the grown sites, 2 Mbit/s, in bytes a
// second.
const entryLink = 2_000_000 / 8

// slowLink is a link with little bandwidth. Each direction is shared by all
// connections.
type slowLink struct{ in, out slowDirection }

// slowDirection is one direction; with a rate of 0 it is unlimited.
type slowDirection struct {
	bytesPerSecond int

	mu        sync.Mutex
	busyUntil time.Time
}

func newSlowLink(bytesPerSecond int) *slowLink {
	l := &slowLink{}
	l.in.bytesPerSecond, l.out.bytesPerSecond = bytesPerSecond, bytesPerSecond
	return l
}

// transmit blocks until n bytes have passed.
func (d *slowDirection) transmit(n int) {
	if d.bytesPerSecond == 0 {
		return
	}
	d.mu.Lock()
	if now := time.Now(); d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(d.bytesPerSecond))
	end := d.busyUntil
	d.mu.Unlock()
	time.Sleep(time.Until(end))
}

// dial opens a connection over the link.
func (l *slowLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, link: l}, nil
}

type slowConn struct {
	net.Conn
	link *slowLink
}

// Read implements net.Conn.
func (c *slowConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.link.in.transmit(n)
	return n, err
}

// Write implements net.Conn.
func (c *slowConn) Write(data []byte) (int, error) {
	c.link.out.transmit(len(data))
	return c.Conn.Write(data)
}
