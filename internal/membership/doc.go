// Package membership keeps what the processes of a site know about one
// another: which are live, whether this one may call itself ready, and which
// have applied an index. It is pure: time and messages are arguments.
//
// Every process sends a Beat each interval to the leader of the control log
// and to one other process, chosen in turn, and gets a Beat back. Three things
// follow from them:
//
// Confirmation. A confirmed leader says "as of now, this index is committed".
// Every process passes that on with its age, so that one which can't reach the
// leader is still confirmed through others. A process is ready while the last
// confirmation which it has caught up with is at most ConfirmLimit old; after
// a restart it has none.
//
// Members. Only a confirmed leader changes the view of live members, and all
// others adopt the view with the larger (term, version), so that they agree
// one beat later. A process is taken out when it is leaving, or when for
// DownAfter neither the leader nor a witness heard it say that it is ready.
// That tells apart who is down (nobody hears it), who is cut off from the
// leader only (a witness hears it: it stays), and who hears nobody (it says
// itself that it is not ready).
//
// Progress. Beats carry the applied index, so that any process can name those
// which have not yet applied a change.
package membership
