// Package budget keeps account of the availability budgets: how many
// instances of each service are available, why the others are not, and how
// many may still be taken out on purpose.
//
// What is left of a service's budget is
//
//	available - reserve - least
//
// where available counts the instances that serve on a healthy VM which is
// neither under a permit, soaking, quarantined nor moving; reserve is what the
// worst next failure domain would take of them; and least is the service's
// min_available. A VM whose heartbeat is late counts as lost. Nothing may be
// taken out on purpose that would bring what is left below 0.
//
// The package is pure: it reads a fleet.Index and keeps counts.
package budget
