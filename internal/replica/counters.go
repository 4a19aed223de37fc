package replica

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of the voter.
type counters struct {
	proposals        metrics.Counter // commands appended to the log by this voter
	refused          metrics.Counter // commands not appended
	unknown          metrics.Counter // commands whose outcome was returned as unknown
	applied          metrics.Counter // entries applied
	syncs            metrics.Counter // synced appends
	syncTime         metrics.Timer   // duration of an append
	messagesDropped  metrics.Counter // message ring was full
	messagesRefused  metrics.Counter // for another disk, or invalid
	snapshots        metrics.Counter // snapshots taken by this voter
	installed        metrics.Counter // snapshots received from a leader
	leaderships      metrics.Counter // times this voter became leader
	voterChanges     metrics.Counter // proposed by this voter
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
