package main

import (
	"net"
	"sync"
	"time"
)

// members are the connections of a crowd.
type members struct {
	done    chan struct{}
	running sync.WaitGroup
}

// connect returns when all members have sent what they send, or gave up. They keep
// their connections open until leave.
func (c crowd) connect(address string) *members {
	m := &members{done: make(chan struct{})}
	var sent sync.WaitGroup
	for member := range c.size {
		sent.Add(1)
		m.running.Add(1)
		go func() {
			defer m.running.Done()
			c.run(address, member, &sent, m.done)
		}()
	}
	sent.Wait()
	return m
}

func (m *members) leave() {
	close(m.done)
	m.running.Wait()
}

// run plays one member: it connects, sends and stays; whenever it is closed it connects
// again.
func (c crowd) run(address string, member int, sent *sync.WaitGroup, done chan struct{}) {
	var once sync.Once
	defer once.Do(sent.Done)
	for range crowdRounds {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		stop := make(chan struct{})
		go func() {
			select {
			case <-done:
			case <-stop:
			}
			_ = conn.Close()
		}()
		err = c.send(deadlineConn{conn}, member)
		if err == nil {
			if c.awaitsResponse {
				_, _ = conn.Read(make([]byte, 1)) // a response, or the peer has closed
			}
			once.Do(sent.Done)
			c.stay(conn, done)
		}
		close(stop)
		select {
		case <-done:
			return
		default:
		}
	}
}

// stay returns when the peer has closed the connection or the crowd leaves.
func (c crowd) stay(conn net.Conn, done chan struct{}) {
	if c.keepsUnread {
		<-done
		return
	}
	buffer := make([]byte, 512)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// deadlineConn bounds each write.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn.
func (c deadlineConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	return c.Conn.Write(p)
}
