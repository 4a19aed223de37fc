// Package membership tracks the processes of a site: which are live, whether
// this process is ready, and which processes have applied an index of the
// control log. It performs no I/O: time and messages are arguments.
//
// At each interval a process sends a heartbeat (a Beat) to the leader of the
// control log and to one other process, chosen round-robin, and gets a Beat as
// reply. Beats serve three purposes:
//
// Confirmation. A confirmed leader states that an index is committed as of
// now. Every process forwards the latest confirmation with its age, so that a
// process which can't reach the leader is still confirmed through others. A
// process is ready while the latest confirmation whose index it has applied is
// at most ConfirmLimit old; after a restart it has none.
//
// Members. Only a confirmed leader changes the view of live members. All
// others adopt the view with the larger (term, version), so that they agree
// one beat later. A process is removed when it is leaving, or when neither the
// leader nor a witness received a ready Beat from it for DownAfter. This
// distinguishes a process that is down (nobody receives its beats) from one
// that is cut off from the leader only (a witness receives them, so it stays)
// and from one that receives nothing (it reports itself as not ready).
//
// Progress. Beats carry the applied index, so that any process can list those
// which have not yet applied a change.
package membership
