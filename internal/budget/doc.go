// Package budget tracks the availability budgets: how many instances of each
// service are available, why the others are not, and how many may still be
// taken out on purpose.
//
// The remaining budget of a service is
//
//	available - reserve - least
//
// where available counts the instances that serve on a healthy VM which is
// neither under a permit, soaking, quarantined nor moving; reserve is how many
// of them the loss of the worst failure domain would take; and least, as status
// calls it, is the service's min_available. A VM whose heartbeat is late counts as lost. Nothing
// may be taken out on purpose that would bring the remaining budget below 0.
//
// The package is pure: it reads a fleet.Index and keeps counts.
package budget
