// Package schedule decides which tasks to start on which workers. It has no side
// effects: Make computes a plan from the replicated tables and the leader's state
// of the workers. Package dispatch commits the starts and carries them out.
//
// Make goes through the waiting steps in order of urgency. A job that doesn't fit
// never blocks the ones behind it. Of the workers that a step may use (filter), the
// one with the highest score is taken.
package schedule
