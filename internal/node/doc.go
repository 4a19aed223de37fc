// Package node carries the calls between the system's own processes: quorum
// messages, proposals, the feed of committed entries, heartbeats, the registry
// of upstreams and slot lending. They are twirp calls over HTTP/2 without TLS,
// whose compressed headers keep a heartbeat small.
//
// Client holds three links to each peer, for small calls, for proposals and slot
// lending, and for bulk, so that a snapshot never delays a heartbeat. Server
// handles the calls, those for the control log and for slots through the
// interfaces Voter and Lender. Log is the control log as the rest of the process
// sees it, Follower keeps the state of a learner up to date, Heartbeats drives
// package membership, and RegistrySync replicates the registry of upstreams.
package node
