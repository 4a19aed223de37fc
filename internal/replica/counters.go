package replica

import "github.com/rcrowley/go-metrics"

// counters are what an operator sees of the voter.
type counters struct {
	proposals        metrics.Counter // commands entered in the log here
	refused          metrics.Counter // commands not entered
	unknown          metrics.Counter // commands answered with outcome unknown
	applied          metrics.Counter // entries applied
	syncs            metrics.Counter // appends made durable
	syncTime         metrics.Timer   // how long one append takes
	messagesDropped  metrics.Counter // ring full
	messagesRefused  metrics.Counter // for another disk, or not valid
	snapshots        metrics.Counter // taken here
	installed        metrics.Counter // received from a leader
	leaderships      metrics.Counter // times that this voter became leader
	voterChanges     metrics.Counter // proposed here
	invariantsBroken metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("replica."+name, r)
	}
	return &counters{
		proposals:        counter("proposals"),
		refused:          counter("proposals_refused"),
		unknown:          counter("proposals_unknown"),
		applied:          counter("entries_applied"),
		syncs:            counter("log_syncs"),
		syncTime:         metrics.GetOrRegisterTimer("replica.log_sync_time", r),
		messagesDropped:  counter("messages_dropped"),
		messagesRefused:  counter("messages_refused"),
		snapshots:        counter("snapshots_taken"),
		installed:        counter("snapshots_installed"),
		leaderships:      counter("leaderships"),
		voterChanges:     counter("voter_changes"),
		invariantsBroken: counter("invariants_broken"),
	}
}
