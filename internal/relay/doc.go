// Package relay has other core VMs make the leader's calls to workers.
//
// The leader of a large site decides and commits; most of its processor would
// otherwise go into thousands of HTTP calls a second. Client is a workers.Client
// that hands calls over to a few core VMs in batches, and Server makes them there.
//
// A relay decides nothing. It makes each call once, as the leader wrote it, with
// the leader's fence and the lease that the leader granted, and keeps no state
// but the replies that were not fetched yet. For a worker and for the leader it is
// part of the network: a call may be delayed or lost on the way, and then counts
// as one that may have run. Nothing else has to hold if a relay stops, freezes, or
// belongs to a leader of the past.
//
// A VM that does not answer is left out for a while, and the leader makes the
// calls itself or through the others.
package relay
