package node

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// storingVoter replies to heartbeats at once, and to appends once the call waits for
// more.
type storingVoter struct {
	Voter
	client *Client
}

func (v storingVoter) Step(messages []quorum.Message) {
	for _, m := range messages {
		switch m.Kind {
		case quorum.KindHeartbeat:
			v.client.Send("n2", []quorum.Message{{Kind: quorum.KindHeartbeatReply}})
		case quorum.KindAppend:
			go func() {
				for replies := &v.client.lookup("n2").replies; !replies.isOpen(); {
					time.Sleep(time.Millisecond)
				}
				v.client.Send("n2", []quorum.Message{{Kind: quorum.KindAppendReply, Index: m.Index}})
			}()
		}
	}
}

// isOpen reports whether a call waits for messages.
func (s *replySlot) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting != nil
}

// Guards against a leader that stays confirmed and can commit nothing for
// seconds. It comes about when new connections from two followers to the leader
// are refused while those from the leader work: replies to heartbeats return in
// the call's reply and confirm the leader, but replies to appends need a
// separate call and are lost.
func TestAppendRepliesReturnInTheCallsReply(t *testing.T) {
	is := is.New(t)
	// Nothing listens at that address: a message that is not in the reply is lost.
	client := NewClient(ClientConfig{Self: "n1", Addresses: map[model.NodeID]string{"n2": "127.0.0.1:1"}, Metrics: metrics.NewRegistry()})
	server := NewServer(ServerConfig{Self: "n1", Client: client, Metrics: metrics.NewRegistry()})
	server.storedReplyWait = time.Minute
	server.SetVoter(storingVoter{client: client})
	data, err := encode([]quorum.Message{{Kind: quorum.KindHeartbeat}, {Kind: quorum.KindAppend, Index: 7}})
	is.NoErr(err)
	reply, err := server.Exchange(context.Background(), &nodepb.ExchangeRequest{Node: "n2", Messages: data})
	is.NoErr(err)
	replies, err := decodeMessages(reply.Messages)
	is.NoErr(err)
	is.Equal(len(replies), 2)
	is.Equal(replies[0].Kind, quorum.KindHeartbeatReply)
	is.Equal(replies[1].Index, uint64(7))
}
