package node

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
)

// HTTP/2 frames that the leaving peer sends, see RFC 9113.
const (
	// settingsFrame allows 1 GiB in flight on a stream, windowFrame on the
	// connection.
	settingsFrame = "\x00\x00\x06\x04\x00\x00\x00\x00\x00" + "\x00\x04\x40\x00\x00\x00"
	windowFrame   = "\x00\x00\x04\x08\x00\x00\x00\x00\x00" + "\x40\x00\x00\x00"
	// goAwayFrame reports that no stream was handled.
	goAwayFrame = "\x00\x00\x08\x07\x00\x00\x00\x00\x00" + "\x00\x00\x00\x00" + "\x00\x00\x00\x00"
)

// leavingPeerAddress starts a peer that sends GOAWAY on each connection in the
// middle of a call's body, and returns its address.
func leavingPeerAddress(t *testing.T, afterBytes int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go leaveDuringCall(conn, afterBytes)
		}
	}()
	return listener.Addr().String()
}

func leaveDuringCall(conn net.Conn, afterBytes int64) {
	defer conn.Close()
	_, _ = io.WriteString(conn, settingsFrame+windowFrame)
	_, _ = io.CopyN(io.Discard, conn, afterBytes)
	_, _ = io.WriteString(conn, goAwayFrame)
	_, _ = io.CopyN(io.Discard, conn, maxCallBytes)
}

// Guards against a data race in the transport between the preparation of a
// resend and the goroutine that still reads the body of the first attempt. It
// came about when a peer left while calls to it were being written, because the
// transport itself resends a call with a GetBody. Without GetBody the call
// ends, and the code that made it decides about a retry.
func TestCallToALeavingPeerEnds(t *testing.T) {
	is := is.New(t)
	payload := strings.Repeat("x", 4<<20)
	for i := range 60 {
		l := testLink(leavingPeerAddress(t, int64(1+i)<<15), defaultDial())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := l.node().Propose(ctx, &nodepb.ProposeRequest{Command: []byte(payload)})
		is.True(err != nil)
		is.True(unanswered(err)) // it may have run, so it must not count as refused
		is.NoErr(ctx.Err())      // at once, not at the deadline
		cancel()
		l.close()
	}
}

func testLink(address string, dial DialFunc) *link {
	return newLink(address, ClientConfig{Site: testSite, Token: func() string { return "" }, Dial: dial, ProbeAfter: pingAfter})
}

// Guards against requests that end with "may have run" while the core VMs have
// no power, although nothing was sent, so that they cannot be resent. It came
// about because connecting got no response and the call's deadline passed
// before the dial timeout: the deadline's error does not tell whether there was
// a connection.
func TestCallWithoutAConnectionWasNotSent(t *testing.T) {
	is := is.New(t)
	blackhole := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l := testLink("127.0.0.1:9", blackhole)
	defer l.close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := l.node().Propose(ctx, &nodepb.ProposeRequest{})
	is.True(neverSent(err))
	is.True(!unanswered(err))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against a request that runs twice. It would come about if a call that a
// peer received and did not reply to counted as one that was not sent.
func TestCallWithoutReplyMayHaveRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	l := testLink(listener.Addr().String(), defaultDial())
	defer l.close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = l.node().Propose(ctx, &nodepb.ProposeRequest{})
	is.True(err != nil)
	is.True(!neverSent(err))
}
