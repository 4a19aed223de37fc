package slots

import (
	"slices"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// status is what a core looks like from outside.
type status struct {
	waiting, inUse, lent, borrowed int
	ejected                        []model.InstanceID
	// takenOver are the entry VMs whose share is used here.
	takenOver []model.NodeID
}

func (k *core) status() status {
	return status{
		waiting: k.queue.Len(), inUse: k.set.InUse(), lent: k.ledger.Total(), borrowed: k.book.Total(),
		ejected: k.set.Ejected(), takenOver: k.takenOver,
	}
}

// gauges are the sums over all services of an entry VM.
type gauges struct {
	waiting, inUse, lent, borrowed, ejected metrics.Gauge
}

func newGauges(r metrics.Registry) *gauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("slots."+name, r) }
	return &gauges{gauge("waiting"), gauge("in_use"), gauge("lent"), gauge("borrowed"), gauge("ejected_instances")}
}

// set shows the sums.
func (g *gauges) set(all status) {
	g.waiting.Update(int64(all.waiting))
	g.inUse.Update(int64(all.inUse))
	g.lent.Update(int64(all.lent))
	g.borrowed.Update(int64(all.borrowed))
	g.ejected.Update(int64(len(all.ejected)))
}

func (s *status) add(o status) {
	s.waiting += o.waiting
	s.inUse += o.inUse
	s.lent += o.lent
	s.borrowed += o.borrowed
	s.ejected = append(s.ejected, o.ejected...)
}

// logChanges writes a line for each change of state since before.
func logChanges(l log.Interface, before, after status) {
	logDifference(l, "instance", "instance ejected: it fails what others answer", before.ejected, after.ejected)
	logDifference(l, "instance", "instance taken back", after.ejected, before.ejected)
	logDifference(l, "entry_vm", "share of an entry VM that is gone is used here", before.takenOver, after.takenOver)
	logDifference(l, "entry_vm", "share is left to its entry VM again", after.takenOver, before.takenOver)
}

func logDifference[T ~string](l log.Interface, field, line string, before, after []T) {
	for _, id := range after {
		if !slices.Contains(before, id) {
			l.WithField(field, string(id)).Info(line)
		}
	}
}
