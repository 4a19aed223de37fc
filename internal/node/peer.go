package node

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/rcrowley/go-metrics"
)

const (
	// sendQueueLength bounds the batches that wait for one peer.
	sendQueueLength = 256
	// maxCoalescedBytes is the size from which no further batch is added to a
	// call.
	maxCoalescedBytes = 1 << 20
	// messageOverhead estimates the bytes of a message or entry without its data.
	messageOverhead = 64
	// bulkBytes is the size from which quorum messages use the bulk link.
	bulkBytes = 64 << 10
	// exchangeTimeout bounds a small delivery of quorum messages. It is below
	// the shortest election timeout (480 ms): the messages behind one that is
	// stuck on a dead connection must be sent before the followers start an
	// election.
	exchangeTimeout = 400 * time.Millisecond
	// bulkTimeout bounds a delivery on the bulk link.
	bulkTimeout = 5 * time.Second
	// failurePause is the pause after a failed delivery, so that a peer that
	// refuses connections costs little.
	failurePause = 50 * time.Millisecond
)

// peer is another process of the site. Its three links separate calls that would
// delay one another: small carries heartbeats and quorum messages, work carries
// proposals and slot lending, whose number grows with the load, and bulk carries
// the feed, snapshots and large batches.
type peer struct {
	name, self        model.NodeID
	small, work, bulk *link
	outgoing          *ring.Ring[[]quorum.Message]
	replies           replySlot
	receive           func([]quorum.Message)

	dropped, failures metrics.Counter
}

func newPeer(name model.NodeID, address string, c ClientConfig) *peer {
	return &peer{
		name:     name,
		self:     c.Self,
		small:    newLink(address, c),
		work:     newLink(address, c),
		bulk:     newLink(address, c),
		outgoing: ring.New[[]quorum.Message](sendQueueLength),
		receive:  func([]quorum.Message) {},
		dropped:  metrics.GetOrRegisterCounter("node.exchange.dropped", c.Metrics),
		failures: metrics.GetOrRegisterCounter("node.call.failed", c.Metrics),
	}
}

// send passes messages to a waiting call of the peer, or queues them.
func (p *peer) send(messages []quorum.Message) {
	if p.replies.put(messages) {
		return
	}
	if p.outgoing.TryPut(messages) != nil {
		p.dropped.Inc(int64(len(messages)))
	}
}

// run delivers queued messages until ctx ends.
func (p *peer) run(ctx context.Context) {
	for {
		batch, err := p.outgoing.Get(ctx)
		if err != nil {
			return
		}
		if p.exchange(ctx, p.coalesce(batch)) != nil {
			steady.Pause(ctx, failurePause)
		}
	}
}

// coalesce adds further queued batches, so that one call carries them all.
func (p *peer) coalesce(batch []quorum.Message) []quorum.Message {
	for size := sizeOf(batch); size < maxCoalescedBytes; {
		more, ok := p.outgoing.TryGet()
		if !ok {
			break
		}
		size += sizeOf(more)
		batch = append(batch[:len(batch):len(batch)], more...)
	}
	return batch
}

// sizeOf estimates the encoded size of messages.
func sizeOf(messages []quorum.Message) int {
	size := 0
	for i := range messages {
		size += messageOverhead
		for j := range messages[i].Entries {
			size += messageOverhead + len(messages[i].Entries[j].Data)
		}
		if c := messages[i].Chunk; c != nil {
			size += len(c.Data)
		}
	}
	return size
}

// exchange delivers messages and passes on those in the reply. Small batches
// use the small link, large ones the bulk link.
func (p *peer) exchange(ctx context.Context, messages []quorum.Message) error {
	envelope := envelopeOf(messages)
	data, err := encode(envelope.strip(messages))
	if err != nil {
		p.dropped.Inc(int64(len(messages)))
		return err
	}
	link, limit := p.small, exchangeTimeout
	if len(data) >= bulkBytes {
		link, limit = p.bulk, bulkTimeout
	}
	ctx, err = envelope.attach(ctx)
	if err != nil {
		return err
	}
	request := &nodepb.ExchangeRequest{Node: string(p.self), Messages: data}
	reply, err := p.deliver(ctx, link, request, limit)
	if link == p.bulk && err != nil && neverSent(err) {
		// No connection can be opened, but the small link may still have one.
		// Without this a lagging follower would never catch up.
		reply, err = p.deliver(ctx, p.small, request, bulkTimeout)
	}
	if err != nil {
		p.dropped.Inc(int64(len(messages)))
		return err
	}
	replies, err := decodeMessages(reply.Messages)
	if err == nil && len(replies) > 0 {
		p.receive(envelope.reverse().restore(replies))
	}
	return err
}

// deliver sends one request over a link.
func (p *peer) deliver(ctx context.Context, l *link, r *nodepb.ExchangeRequest, limit time.Duration) (*nodepb.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := l.node().Exchange(ctx, r)
	if err != nil {
		p.recordFailure(l, err)
	}
	return reply, err
}

// recordFailure counts a failed call, and makes the next one use a new connection
// if there was no reply.
func (p *peer) recordFailure(l *link, err error) {
	p.failures.Inc(1)
	if unanswered(err) {
		l.renew()
	}
}
