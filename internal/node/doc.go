// Package node is the peer package for the system's own processes. It carries
// quorum messages, proposals, the feed of committed entries, heartbeats, the
// registry of upstreams and slot lending between them, as twirp calls over
// HTTP/2 without TLS, whose compressed headers keep a heartbeat small.
//
// Client holds two links to each peer, one for small calls and one for bulk,
// so that a snapshot never delays a heartbeat. Server answers the calls by
// small interfaces (Voter, Machine, Registry, Lender). Log is the control log
// as the rest of the process sees it, Follower keeps the state of a learner
// up to date, and Heartbeats drives package membership.
package node
