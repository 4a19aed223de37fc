// Package controller reconciles the platform with the replicated state. It
// runs on the leader only.
//
// Each round observes the platform, decides, commits one plan, and then sends
// the commands that follow from the committed state: the intent is durable
// before any effect. Commands are never replayed from the log: a round compares
// the observed with the desired state, so a new leader, or one that was behind
// by hundreds of changes, continues from the newest state.
//
// Before a command with an unknown outcome is repeated, the controller queries
// the platform for its effect. Every command carries the term, a generation and
// a stable ID, so that a command that arrives late, twice or from a replaced
// leader does no harm.
package controller
