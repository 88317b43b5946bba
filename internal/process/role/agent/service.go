package agent

import (
	"slices"
	"strings"

	"greengagedoor.example/greengagedoor/internal/request/message"
)

// serviceKey identifies a service. A service of targets and one of the worker may have
// the same name, since each kind states where it runs.
type serviceKey struct {
	name   string
	worker bool
}

// contribution is what one target adds to the totals of each of its services. The
// speed is weighted by the slots.
type contribution struct {
	free     int
	reserved int
	long     int
	slots    int
	speed    float64
}

func (t *target) contribution() contribution {
	if !t.accepting() {
		return contribution{}
	}
	free := t.free(general)
	return contribution{
		free:     free,
		reserved: t.free(critical) - free,
		long:     t.free(long),
		slots:    t.slots(),
		speed:    t.speed * float64(t.slots()),
	}
}

// service is the set of targets that offer one service. It keeps the targets ranked
// for each class and the totals of their slots, so that finding the best target takes
// constant time.
type service struct {
	name    string
	worker  bool
	ranking [classes]ranking
	totals  contribution
	// unmet is the demand without an offer, by class.
	unmet   [classes]int
	demands int
}

func newService(key serviceKey) *service {
	s := &service{
		name:   key.name,
		worker: key.worker,
	}
	for c := range s.ranking {
		s.ranking[c].class = class(c)
		s.ranking[c].service = s
	}
	return s
}

// best returns the least loaded target for a class, or nil if none has a free slot.
func (s *service) best(c class) *target {
	r := &s.ranking[c]
	if len(r.entries) == 0 || r.entries[0].load == infiniteLoad {
		return nil
	}
	return r.entries[0].target
}

func (s *service) add(t *target) {
	t.registrations = append(t.registrations, registration{
		service: s,
	})
	for c := range s.ranking {
		s.ranking[c].push(t, t.load(class(c)))
	}
}

func (s *service) remove(t *target) {
	reg := t.registration(s)
	for c := range s.ranking {
		s.ranking[c].remove(reg.index[c])
	}
}

// update updates the target's rankings and the totals of its services.
func (t *target) update() {
	n := t.contribution()
	var loads [classes]float64
	for c := range loads {
		loads[c] = t.load(class(c))
	}
	for i := range t.registrations {
		reg := &t.registrations[i]
		for c := range loads {
			reg.service.ranking[c].fix(reg.index[c], loads[c])
		}
		s := &reg.service.totals
		s.free += n.free - t.contributed.free
		s.reserved += n.reserved - t.contributed.reserved
		s.long += n.long - t.contributed.long
		s.slots += n.slots - t.contributed.slots
		s.speed += n.speed - t.contributed.speed
		if s.slots == 0 {
			s.speed = 0
		}
	}
	t.contributed = n
}

func (t *target) registration(s *service) *registration {
	for i := range t.registrations {
		if t.registrations[i].service == s {
			return &t.registrations[i]
		}
	}
	return nil
}

// capacity returns the published free capacity of the service. Slots for which
// there is unmet demand are published as occupied, so that no other owner takes a
// slot that is about to be offered.
func (s *service) capacity() message.Capacity {
	free, reserved := s.totals.free, s.totals.reserved
	if s.unmet[general] > 0 || (s.unmet[long] > 0 && s.totals.long > 0) {
		free = 0
	}
	if s.unmet[critical] > 0 || (s.unmet[criticalLong] > 0 && s.best(criticalLong) != nil) {
		free, reserved = 0, 0
	}
	speed := 1.0
	if s.totals.slots > 0 {
		speed = s.totals.speed / float64(s.totals.slots)
	}
	return message.NewCapacity(s.name, uint32(free), uint32(reserved), uint32(min(s.totals.long, free)), speed)
}

// serviceNamed returns the service with the name in an owner's demand. The
// worker's service has precedence, because a demand does not state where its
// kinds run.
func (a *Agent) serviceNamed(name string) *service {
	if s, ok := a.services[serviceKey{
		name:   name,
		worker: true,
	}]; ok {
		return s
	}
	return a.service(serviceKey{
		name: name,
	})
}

// service returns the service of a key, and adds it if it is new.
func (a *Agent) service(key serviceKey) *service {
	s, ok := a.services[key]
	if !ok {
		s = newService(key)
		a.services[key] = s
		a.sortedServices = append(a.sortedServices, s)
		slices.SortFunc(a.sortedServices, func(x, y *service) int { return strings.Compare(x.name, y.name) })
	}
	return s
}

// removeIfUnused removes a service that has neither targets nor demand.
func (a *Agent) removeIfUnused(s *service) {
	if s.empty() && s.demands == 0 {
		delete(a.services, serviceKey{
			name:   s.name,
			worker: s.worker,
		})
		a.sortedServices = slices.DeleteFunc(a.sortedServices, func(o *service) bool { return o == s })
	}
}

func (s *service) empty() bool {
	return len(s.ranking[general].entries) == 0
}

// register adds a target to its services.
func (a *Agent) register(t *target) {
	names := t.announced.Services()
	if t.worker {
		names = a.worker.services
	}
	for _, name := range names {
		s := a.service(serviceKey{
			name:   name,
			worker: t.worker,
		})
		if t.registration(s) == nil {
			s.add(t)
		}
	}
	t.update()
}

// unregister removes a target from its services.
func (a *Agent) unregister(t *target) {
	leaving := t.leaving
	t.leaving = true
	t.update()
	for i := range t.registrations {
		s := t.registrations[i].service
		s.remove(t)
		a.removeIfUnused(s)
	}
	t.registrations = nil
	t.leaving = leaving
}
