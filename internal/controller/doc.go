// Package controller reconciles the platform with the replicated state. It
// runs on the leader only.
//
// Each round observes the platform, decides, commits one plan, and then sends
// the commands that follow from the committed state: the intent is durable
// before the effect. Nothing is replayed: a round reads what is and what
// should be, so a new leader, or one that was behind by hundreds of changes,
// goes on from the newest state.
//
// A command whose outcome is unknown is asked about before it is repeated,
// and every command carries the term, a generation and a stable ID, so that
// one which arrives late, twice or from a leader that was replaced does no
// harm.
package controller
