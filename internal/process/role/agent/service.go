package agent

import (
	"slices"
	"strings"

	"greengagedoor.example/greengagedoor/internal/request/message"
)

// serviceKey keeps a service of targets apart from one of the worker that has the
// same name: a kind says where it runs.
type serviceKey struct {
	name   string
	worker bool
}

// contribution is what one target adds to the sums of its services.
type contribution struct {
	free     int
	reserved int
	long     int
	slots    int
	speed    float64
}

func (t *target) contribution() contribution {
	if !t.open() {
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

// service is the set of targets that offer one service. It keeps the best target
// of each class at hand and sums up the free slots, so that a decision costs the
// same with many targets.
type service struct {
	name    string
	worker  bool
	ranking [classes]ranking
	sum     contribution
	// open is the demand that no offer covers, by class.
	open    [classes]int
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

// best is the target for a task of a class; nil if no slot is free.
func (s *service) best(c class) *target {
	r := &s.ranking[c]
	if len(r.entries) == 0 || r.entries[0].load == full {
		return nil
	}
	return r.entries[0].target
}

func (s *service) add(t *target) {
	t.places = append(t.places, place{
		service: s,
	})
	for c := range s.ranking {
		s.ranking[c].push(t, t.load(class(c)))
	}
}

func (s *service) remove(t *target) {
	p := t.place(s)
	for c := range s.ranking {
		s.ranking[c].remove(p.at[c])
	}
}

// update renews a target's rank and the sums of its services after a change.
func (t *target) update() {
	n := t.contribution()
	var loads [classes]float64
	for c := range loads {
		loads[c] = t.load(class(c))
	}
	for i := range t.places {
		p := &t.places[i]
		for c := range loads {
			p.service.ranking[c].fix(p.at[c], loads[c])
		}
		s := &p.service.sum
		s.free += n.free - t.shown.free
		s.reserved += n.reserved - t.shown.reserved
		s.long += n.long - t.shown.long
		s.slots += n.slots - t.shown.slots
		s.speed += n.speed - t.shown.speed
		if s.slots == 0 {
			s.speed = 0
		}
	}
	t.shown = n
}

func (t *target) place(s *service) *place {
	for i := range t.places {
		if t.places[i].service == s {
			return &t.places[i]
		}
	}
	return nil
}

// room is what the hint says of the service. Slots that a waiting owner may take
// are shown as none, so that nobody takes what is about to be offered.
func (s *service) room() message.Capacity {
	free, reserved := s.sum.free, s.sum.reserved
	if s.open[general] > 0 || (s.open[long] > 0 && s.sum.long > 0) {
		free = 0
	}
	if s.open[critical] > 0 || (s.open[criticalLong] > 0 && s.best(criticalLong) != nil) {
		free, reserved = 0, 0
	}
	speed := 1.0
	if s.sum.slots > 0 {
		speed = s.sum.speed / float64(s.sum.slots)
	}
	return message.NewCapacity(s.name, uint32(free), uint32(reserved), uint32(min(s.sum.long, free)), speed)
}

// wanted is the service that an owner's demand names. The worker's goes first, as
// the demand does not say where the kind runs.
func (a *Agent) wanted(name string) *service {
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

// service returns the service of a name, which is entered if it is new.
func (a *Agent) service(key serviceKey) *service {
	s, ok := a.services[key]
	if !ok {
		s = newService(key)
		a.services[key] = s
		a.listed = append(a.listed, s)
		slices.SortFunc(a.listed, func(x, y *service) int { return strings.Compare(x.name, y.name) })
	}
	return s
}

// discard forgets a service without targets and demand.
func (a *Agent) discard(s *service) {
	if s.empty() && s.demands == 0 {
		delete(a.services, serviceKey{
			name:   s.name,
			worker: s.worker,
		})
		a.listed = slices.DeleteFunc(a.listed, func(o *service) bool { return o == s })
	}
}

func (s *service) empty() bool {
	return len(s.ranking[general].entries) == 0
}

// serve enters a target into its services.
func (a *Agent) serve(t *target) {
	names := t.announced.Services()
	if t.worker {
		names = a.worker.services
	}
	for _, name := range names {
		s := a.service(serviceKey{
			name:   name,
			worker: t.worker,
		})
		if t.place(s) == nil {
			s.add(t)
		}
	}
	t.update()
}

// unserve takes a target out of its services.
func (a *Agent) unserve(t *target) {
	leaving := t.leaving
	t.leaving = true
	t.update()
	for i := range t.places {
		s := t.places[i].service
		s.remove(t)
		a.discard(s)
	}
	t.places = nil
	t.leaving = leaving
}
