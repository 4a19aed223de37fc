package slots

import (
	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// arrive passes a request to an entry VM.
func (s *sim) arrive(vm *simVM, r *simRequest) {
	s.arrivals++
	r.vm = vm.index
	r.arrived = s.now
	w := &waiter{request: SlotRequest{Service: "drafts", Priority: r.priority, Deadline: r.deadline}}
	w.respond = func(u balance.Use, refusal *admission.Refusal) {
		delete(vm.queued, r)
		s.respond(vm, r, u, refusal)
	}
	s.step(vm, func() {
		use, t, refusal := vm.core.acquire(w, s.now)
		if t == nil {
			s.respond(vm, r, use, refusal)
			return
		}
		if r.results == 0 {
			vm.queued[r] = t
		}
	})
}

// respond gives a request its only result: a slot or a refusal.
func (s *sim) respond(vm *simVM, r *simRequest, u balance.Use, refusal *admission.Refusal) {
	r.results++
	s.results++
	if refusal != nil {
		return
	}
	r.use = u
	vm.inUse[r] = true
	starts := vm.starts
	release := func() {
		if vm.alive && vm.starts == starts {
			delete(vm.inUse, r)
			s.step(vm, func() { vm.core.release(u, Answered, s.now) })
		}
	}
	id := u.Instance.Upstream.Instance
	if s.coreDelay == nil {
		s.sendTo(id, r, release)
		return
	}
	s.after(s.coreDelay(), func() {
		s.sendTo(id, r, func() {
			if !s.alive[r.origin] {
				s.orphaned(release)
				return
			}
			s.after(s.coreDelay(), release)
		})
	})
}

// sendTo runs a request at an instance, in order of arrival if all slots of the
// instance are in use.
func (s *sim) sendTo(id model.InstanceID, r *simRequest, done func()) {
	i := s.instances[id]
	run := func() {
		i.running++
		r.started = true
		if s.onStart != nil {
			s.onStart(r)
		}
		ended := false
		end := func() {
			if ended {
				return
			}
			ended = true
			i.running--
			if len(i.backlog) > 0 {
				next := i.backlog[0]
				i.backlog = i.backlog[1:]
				next.resume()
			}
			done()
		}
		r.abort = end
		s.after(r.work, end)
	}
	r.abort = func() {}
	if i.running >= s.limit {
		s.overruns++
		r.resume = run
		i.backlog = append(i.backlog, r)
		return
	}
	run()
}
