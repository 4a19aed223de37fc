package replica

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// checkPromises is the check "durable before send": every message that binds
// this voter follows from what its log holds durably. A broken check ends the
// duty before the message leaves.
func (d *driver) checkPromises(messages []quorum.Message) error {
	for i := range messages {
		if broken := d.brokenPromise(&messages[i]); broken != "" {
			d.counters.invariantsBroken.Inc(1)
			return fmt.Errorf("invariant broken: durable before send: %s", broken)
		}
	}
	return nil
}

func (d *driver) brokenPromise(m *quorum.Message) string {
	hard := d.log.Hard()
	switch {
	case !m.RequiresSync():
		return ""
	case m.Term > hard.Term:
		return fmt.Sprintf("a message of term %d, stored is %d", m.Term, hard.Term)
	case m.Kind == quorum.KindVote && (hard.Term != m.Term || hard.VotedFor != m.From):
		return fmt.Sprintf("candidate in term %d, stored is a vote for %q in %d", m.Term, hard.VotedFor, hard.Term)
	case m.Kind == quorum.KindVoteReply && !m.Reject && (hard.Term != m.Term || hard.VotedFor != m.To):
		return fmt.Sprintf("vote for %q in term %d, stored is %q in %d", m.To, m.Term, hard.VotedFor, hard.Term)
	case m.Kind == quorum.KindAppendReply && !m.Reject && m.Index > d.log.Last():
		return fmt.Sprintf("acknowledged %d, stored up to %d", m.Index, d.log.Last())
	}
	return ""
}

// checkInvariants are the checks of every round: those of the core, and that
// what is applied never steps back or runs ahead of what is committed.
func (d *driver) checkInvariants() error {
	broken := d.raft.Check()
	s := d.raft.Status()
	if applied := d.config.Machine.Applied(); applied != s.Applied {
		broken = append(broken, fmt.Sprintf("applied as the core says: machine %d, core %d", applied, s.Applied))
	}
	if before := d.lastSeen; s.Commit < before.Commit || s.Applied < before.Applied || s.Term < before.Term {
		broken = append(broken, fmt.Sprintf("never steps back: %+v after %+v", s, before))
	}
	d.lastSeen = s
	if len(broken) == 0 {
		return nil
	}
	d.counters.invariantsBroken.Inc(int64(len(broken)))
	return fmt.Errorf("invariant broken: %q", broken)
}
