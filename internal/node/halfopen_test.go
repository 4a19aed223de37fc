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

// storingVoter answers heartbeats at once and appends a little later.
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
				time.Sleep(storeWait / 8)
				v.client.Send("n2", []quorum.Message{{Kind: quorum.KindAppendReply, Index: m.Index}})
			}()
		}
	}
}

// Symptom: nothing commits for seconds and nobody elects another leader.
// Sequence: new connections from two followers to the leader are refused, those
// from the leader still work; heartbeats are answered in the reply of their call
// and confirm the leader, the answers to appends need a call back and are lost.
// Cause: the two ways of answering.
func TestAppendsAreAnsweredInTheReply(t *testing.T) {
	is := is.New(t)
	// Nobody listens there: what is not in the reply is lost.
	client := NewClient(ClientConfig{Self: "n1", Addresses: map[model.NodeID]string{"n2": "127.0.0.1:1"}, Metrics: metrics.NewRegistry()})
	server := NewServer(ServerConfig{Self: "n1", Client: client, Metrics: metrics.NewRegistry()})
	server.SetVoter(storingVoter{client: client})
	data, err := encode([]quorum.Message{{Kind: quorum.KindHeartbeat}, {Kind: quorum.KindAppend, Index: 7}})
	is.NoErr(err)
	reply, err := server.Exchange(context.Background(), &nodepb.ExchangeRequest{Node: "n2", Messages: data})
	is.NoErr(err)
	answers, err := decodeMessages(reply.Messages)
	is.NoErr(err)
	is.Equal(len(answers), 2)
	is.Equal(answers[0].Kind, quorum.KindHeartbeatReply)
	is.Equal(answers[1].Index, uint64(7))
}
