package slots

import (
	"slices"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// status summarizes a core for metrics and log lines.
type status struct {
	waiting, inUse, lent, borrowed int
	ejected                        []model.InstanceID
	// takenOver lists the entry VMs whose shares this one uses.
	takenOver []model.NodeID
}

func (k *core) status() status {
	return status{
		waiting: k.queue.Len(), inUse: k.set.InUse(), lent: k.lender.Total(), borrowed: k.borrower.Total(),
		ejected: k.set.Ejected(), takenOver: k.takenOver,
	}
}

// gauges show the sums over all services of an entry VM.
type gauges struct {
	waiting, inUse, lent, borrowed, ejected metrics.Gauge
}

func newGauges(r metrics.Registry) *gauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("slots."+name, r) }
	return &gauges{gauge("waiting"), gauge("in_use"), gauge("lent"), gauge("borrowed"), gauge("ejected_instances")}
}

// update sets the gauges to the sums.
func (g *gauges) update(all status) {
	g.waiting.Update(int64(all.waiting))
	g.inUse.Update(int64(all.inUse))
	g.lent.Update(int64(all.lent))
	g.borrowed.Update(int64(all.borrowed))
	g.ejected.Update(int64(len(all.ejected)))
}

// add adds the figures that the gauges show.
func (s *status) add(o status) {
	s.waiting += o.waiting
	s.inUse += o.inUse
	s.lent += o.lent
	s.borrowed += o.borrowed
	s.ejected = append(s.ejected, o.ejected...)
}

// logChanges logs each difference between two statuses.
func logChanges(l log.Interface, before, after status) {
	logAdded(l, "instance", "instance ejected: it fails requests that other instances answer", before.ejected, after.ejected)
	logAdded(l, "instance", "instance no longer ejected", after.ejected, before.ejected)
	logAdded(l, "entry_vm", "slots of a lost or stopped entry VM taken over", before.takenOver, after.takenOver)
	logAdded(l, "entry_vm", "slots returned to their entry VM", after.takenOver, before.takenOver)
}

// logAdded logs a line for each identifier that is in after but not in before.
func logAdded[T ~string](l log.Interface, field, line string, before, after []T) {
	for _, id := range after {
		if !slices.Contains(before, id) {
			l.WithField(field, string(id)).Info(line)
		}
	}
}
