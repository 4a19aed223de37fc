package node

import (
	"context"
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/twitchtv/twirp"
)

// Headers that name the voters between which quorum messages go. The names
// hold a disk identity of 36 bytes each and hardly ever change on one
// connection, so that HTTP/2 compresses them to a byte or two; within each
// message they would be most of the traffic of an idle site.
const (
	fromHeader = "Comfreyloom-Voter-From"
	toHeader   = "Comfreyloom-Voter-To"
)

// envelope is the sender and addressee that messages of a batch share.
type envelope struct{ from, to quorum.ID }

// envelopeOf takes those of the first message.
func envelopeOf(messages []quorum.Message) envelope {
	if len(messages) == 0 {
		return envelope{}
	}
	return envelope{from: messages[0].From, to: messages[0].To}
}

// reverse is the envelope of what answers.
func (e envelope) reverse() envelope { return envelope{from: e.to, to: e.from} }

// seal returns the messages without what the envelope says; others keep theirs.
func (e envelope) seal(messages []quorum.Message) []quorum.Message {
	sealed := make([]quorum.Message, len(messages))
	copy(sealed, messages)
	for i := range sealed {
		if m := &sealed[i]; m.From == e.from && m.To == e.to {
			m.From, m.To = "", ""
		}
	}
	return sealed
}

// open is the inverse of seal, in place.
func (e envelope) open(messages []quorum.Message) []quorum.Message {
	for i := range messages {
		if m := &messages[i]; m.From == "" && m.To == "" {
			m.From, m.To = e.from, e.to
		}
	}
	return messages
}

// attach makes a call carry the envelope.
func (e envelope) attach(ctx context.Context) (context.Context, error) {
	header := http.Header{}
	header.Set(fromHeader, string(e.from))
	header.Set(toHeader, string(e.to))
	return twirp.WithHTTPRequestHeaders(ctx, header)
}

type envelopeKey struct{}

// keepEnvelope passes the envelope of a request on to the method.
func keepEnvelope(r *http.Request) *http.Request {
	from := r.Header.Get(fromHeader)
	if from == "" {
		return r
	}
	e := envelope{from: quorum.ID(from), to: quorum.ID(r.Header.Get(toHeader))}
	return r.WithContext(context.WithValue(r.Context(), envelopeKey{}, e))
}

func envelopeFrom(ctx context.Context) envelope {
	e, _ := ctx.Value(envelopeKey{}).(envelope)
	return e
}
