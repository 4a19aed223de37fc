// Package loadmodel simulates a load against the product's own decisions, without
// a network: package schedule decides which tasks start where, package capacity
// which VM serves which pool. Time advances in steps, all random choices come from
// a seed, and workers, callers and the platform respond after a fixed delay.
//
// It doesn't model elections, lost and delayed calls, workers that hang or fail,
// or the leader's processor time. It serves to compare capacity and scheduling
// policies under a load, seed by seed, not to predict what a site earns.
package loadmodel
