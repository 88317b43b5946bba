package agent

import (
	"container/heap"
	"slices"
	"strings"

	"greengagedoor.example/greengagedoor/internal/request/message"
)

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
	ranking [classes]*ranking
	sum     contribution
}

func newService(name string) *service {
	s := &service{
		name: name,
	}
	for c := range s.ranking {
		s.ranking[c] = &ranking{
			class:   class(c),
			service: s,
		}
	}
	return s
}

// best is the target for a task of a class; nil if no slot is free.
func (s *service) best(c class) *target {
	r := s.ranking[c]
	if len(r.targets) == 0 || r.targets[0].free(c) == 0 {
		return nil
	}
	return r.targets[0]
}

func (s *service) add(t *target) {
	t.places = append(t.places, place{
		service: s,
	})
	for _, r := range s.ranking {
		heap.Push(r, t)
	}
}

func (s *service) remove(t *target) {
	p := t.place(s)
	for c, r := range s.ranking {
		heap.Remove(r, p.at[c])
	}
}

// update renews a target's rank and the sums of its services after a change.
func (t *target) update() {
	n := t.contribution()
	for i := range t.places {
		p := &t.places[i]
		for c, r := range p.service.ranking {
			heap.Fix(r, p.at[c])
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

// ranking orders the targets of a service for one class.
type ranking struct {
	class   class
	service *service
	targets []*target
}

// Len is part of heap.Interface.
func (r *ranking) Len() int {
	return len(r.targets)
}

// Less is part of heap.Interface; the name decides between equals.
func (r *ranking) Less(i, j int) bool {
	a, b := r.targets[i], r.targets[j]
	if x, y := a.load(r.class), b.load(r.class); x != y {
		return x < y
	}
	return strings.Compare(a.announced.Target(), b.announced.Target()) < 0
}

// Swap is part of heap.Interface.
func (r *ranking) Swap(i, j int) {
	r.targets[i], r.targets[j] = r.targets[j], r.targets[i]
	r.targets[i].place(r.service).at[r.class] = i
	r.targets[j].place(r.service).at[r.class] = j
}

// Push is part of heap.Interface.
func (r *ranking) Push(x any) {
	t := x.(*target)
	t.place(r.service).at[r.class] = len(r.targets)
	r.targets = append(r.targets, t)
}

// Pop is part of heap.Interface.
func (r *ranking) Pop() any {
	n := len(r.targets) - 1
	t := r.targets[n]
	r.targets[n] = nil
	r.targets = r.targets[:n]
	return t
}

// room is what the hint says of the service. Slots that a waiting owner may take
// are shown as none, so that nobody takes what is about to be offered.
func (s *service) room(wanted [classes]bool) message.Room {
	free, reserved := s.sum.free, s.sum.reserved
	if wanted[general] || (wanted[long] && s.sum.long > 0) {
		free = 0
	}
	if wanted[critical] || (wanted[criticalLong] && s.best(criticalLong) != nil) {
		free, reserved = 0, 0
	}
	speed := 1.0
	if s.sum.slots > 0 {
		speed = s.sum.speed / float64(s.sum.slots)
	}
	return message.NewRoom(s.name, uint32(free), uint32(reserved), uint32(min(s.sum.long, free)), speed)
}

// serve enters a target into its services.
func (a *Agent) serve(t *target) {
	for _, name := range t.announced.Services() {
		s, ok := a.services[name]
		if !ok {
			s = newService(name)
			a.services[name] = s
			a.listed = append(a.listed, s)
			slices.SortFunc(a.listed, func(x, y *service) int { return strings.Compare(x.name, y.name) })
		}
		if t.place(s) == nil {
			s.add(t)
		}
	}
	t.update()
}

// unserve takes a target out of its services. A service without targets is
// forgotten.
func (a *Agent) unserve(t *target) {
	leaving := t.leaving
	t.leaving = true
	t.update()
	for i := range t.places {
		s := t.places[i].service
		s.remove(t)
		if len(s.ranking[general].targets) == 0 {
			delete(a.services, s.name)
			a.listed = slices.DeleteFunc(a.listed, func(o *service) bool { return o == s })
		}
	}
	t.places = nil
	t.leaving = leaving
}
