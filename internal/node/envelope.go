package node

import (
	"context"
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/twitchtv/twirp"
)

// These headers name the voters that send and receive quorum messages. Each name
// holds a disk identity of 36 bytes and hardly ever changes on one connection,
// so that HTTP/2 compresses it to a byte or two. Within each message the names
// would be most of the traffic of an idle site.
const (
	fromHeader = "Comfreyloom-Voter-From"
	toHeader   = "Comfreyloom-Voter-To"
)

// envelope holds the sender and receiver that the messages of a batch share.
type envelope struct{ from, to quorum.ID }

// envelopeOf returns the envelope of the first message.
func envelopeOf(messages []quorum.Message) envelope {
	if len(messages) == 0 {
		return envelope{}
	}
	return envelope{from: messages[0].From, to: messages[0].To}
}

// reverse returns the envelope of the replies.
func (e envelope) reverse() envelope { return envelope{from: e.to, to: e.from} }

// strip returns the messages without the sender and receiver that the envelope
// holds; messages with others keep theirs.
func (e envelope) strip(messages []quorum.Message) []quorum.Message {
	stripped := make([]quorum.Message, len(messages))
	copy(stripped, messages)
	for i := range stripped {
		if m := &stripped[i]; m.From == e.from && m.To == e.to {
			m.From, m.To = "", ""
		}
	}
	return stripped
}

// restore is the inverse of strip, in place.
func (e envelope) restore(messages []quorum.Message) []quorum.Message {
	for i := range messages {
		if m := &messages[i]; m.From == "" && m.To == "" {
			m.From, m.To = e.from, e.to
		}
	}
	return messages
}

// attach adds the envelope to the headers of a call.
func (e envelope) attach(ctx context.Context) (context.Context, error) {
	header := http.Header{}
	header.Set(fromHeader, string(e.from))
	header.Set(toHeader, string(e.to))
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

type envelopeKey struct{}

// withEnvelope puts the envelope of a request into its context.
func withEnvelope(r *http.Request) *http.Request {
	from := r.Header.Get(fromHeader)
	if from == "" {
		return r
	}
	e := envelope{from: quorum.ID(from), to: quorum.ID(r.Header.Get(toHeader))}
	return r.WithContext(context.WithValue(r.Context(), envelopeKey{}, e))
}

// envelopeFrom returns the envelope of the request that is being handled.
func envelopeFrom(ctx context.Context) envelope {
	e, _ := ctx.Value(envelopeKey{}).(envelope)
	return e
}
