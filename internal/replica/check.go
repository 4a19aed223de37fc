package replica

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// checkDurableBeforeSend checks the invariant "durable before send": the
// durable log must cover everything that a message to be sent commits this
// voter to. A violation stops the driver before the message is sent.
func (d *driver) checkDurableBeforeSend(messages []quorum.Message) error {
	for i := range messages {
		if violation := d.durabilityViolation(&messages[i]); violation != "" {
			d.counters.invariantsBroken.Inc(1)
			return fmt.Errorf("invariant broken: durable before send: %s", violation)
		}
	}
	return nil
}

// durabilityViolation describes what a message commits this voter to beyond the
// durable log; empty when there is nothing.
func (d *driver) durabilityViolation(m *quorum.Message) string {
	hard := d.log.HardState()
	switch {
	case !m.RequiresSync():
		return ""
	case m.Term > hard.Term:
		return fmt.Sprintf("message of term %d, stored term is %d", m.Term, hard.Term)
	case m.Kind == quorum.KindVote && (hard.Term != m.Term || hard.VotedFor != m.From):
		return fmt.Sprintf("candidate in term %d, stored vote is for %q in term %d", m.Term, hard.VotedFor, hard.Term)
	case m.Kind == quorum.KindVoteReply && !m.Reject && (hard.Term != m.Term || hard.VotedFor != m.To):
		return fmt.Sprintf("vote for %q in term %d, stored vote is for %q in term %d", m.To, m.Term, hard.VotedFor, hard.Term)
	case m.Kind == quorum.KindAppendReply && !m.Reject && m.Index > d.log.Last():
		return fmt.Sprintf("acknowledged entry %d, last stored entry is %d", m.Index, d.log.Last())
	}
	return ""
}

// checkInvariants runs the checks of every round: those of the quorum core,
// that state machine and core agree on the applied index, and that term, commit
// index and applied index never decrease.
func (d *driver) checkInvariants() error {
	violations := d.raft.Check()
	s := d.raft.Status()
	if applied := d.config.StateMachine.Applied(); applied != s.Applied {
		violations = append(violations, fmt.Sprintf("applied index of the state machine is %d, of the core %d", applied, s.Applied))
	}
	if before := d.lastStatus; s.Commit < before.Commit || s.Applied < before.Applied || s.Term < before.Term {
		violations = append(violations, fmt.Sprintf("term, commit or applied index decreased: %+v after %+v", s, before))
	}
	d.lastStatus = s
	if len(violations) == 0 {
		return nil
	}
	d.counters.invariantsBroken.Inc(int64(len(violations)))
	return fmt.Errorf("invariant broken: %q", violations)
}
