package server

import (
	"context"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/dump"
	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/keyspace"
	"greengagedoor.example/greengagedoor/internal/process/ring"
	"greengagedoor.example/greengagedoor/internal/version/evacuation"
)

// evacuations follows the requests to evacuate availability zones through the reads of the
// store.
type evacuations struct {
	// zoneOf is nil where no zone is ever evacuated.
	zoneOf func(keyspace.Item) (string, error)
	log    func(event.Note)
	// pass gives the dispatcher a set.
	pass  func(context.Context, evacuation.Set)
	zones map[string]bool
	// unsure is set after a change whose key can't be read, which may have been a request
	// or its end.
	unsure bool
}

// newEvacuations returns a value that follows the requests if deps has them read.
func newEvacuations(deps Dependencies, log func(event.Note), pass func(context.Context, evacuation.Set)) *evacuations {
	e := &evacuations{
		log:   log,
		pass:  pass,
		zones: map[string]bool{},
	}
	if deps.OperatorsPrefix != "" {
		e.zoneOf = deps.EvacuatedZone
	}
	return e
}

// apply takes over the changes up to a revision of the store. Whole is set if they are all
// that the store has, so that a zone without a request is not evacuated any more. It passes
// on each set, also one with the zones of the last, as the newest revision holds among
// processes.
func (e *evacuations) apply(ctx context.Context, changes []keyspace.Change, revision int64, whole bool) {
	if e.zoneOf == nil || revision == 0 {
		return
	}
	before := e.zones
	e.zones = map[string]bool{}
	if !whole {
		maps.Copy(e.zones, before)
	}
	requests := 0
	e.unsure = e.unsure && !whole
	for _, c := range changes {
		zone, err := e.zoneOf(c.Item())
		if err != nil && !c.Deleted() {
			e.log(invalidItem(c.Item(), err))
		}
		switch {
		case c.Item().Invalid() != nil && c.Item().Key() == "":
			e.unsure = true
		case zone == "":
		case c.Deleted():
			requests++
			delete(e.zones, zone)
		default:
			requests++
			e.zones[zone] = true
		}
	}
	if e.unsure && whole {
		// An item that can't be read may be the request for any zone that is missing. Reading
		// it again would show the same.
		e.unsure = false
		maps.Copy(e.zones, before)
	}
	if whole || requests > 0 {
		e.passSet(ctx, revision)
	}
}

func (e *evacuations) passSet(ctx context.Context, revision int64) {
	s := evacuation.New(revision, slices.Collect(maps.Keys(e.zones)))
	if len(s.Zones()) < len(e.zones) {
		e.log(event.New(event.ValueInvalid, event.F("error", errors.Errorf("%d zones are to be evacuated, want at most %d", len(e.zones), evacuation.MaxZones).Error())).About("evacuations"))
	}
	e.pass(ctx, s)
}

// linesAsked is the message that the dump asks the owner of a state machine for lines.
type linesAsked struct {
	reply chan []string
}

// askLines returns lines of the duty that reads a ring.
func askLines(r *ring.Ring[any]) []string {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	m := linesAsked{
		reply: make(chan []string, 1),
	}
	if r.TryPush(m) != nil {
		return []string{"the duty is too busy to answer"}
	}
	select {
	case lines := <-m.reply:
		return lines
	case <-ctx.Done():
		return []string{"the duty does not answer"}
	}
}

// addEvacuationSection adds the part of the dump on evacuated availability zones.
func (b *base) addEvacuationSection(owner *ring.Ring[any]) error {
	section, err := dump.NewSection("evacuation", "The evacuated availability zones, since when this process knows, and what it started there since.", func() []string {
		return askLines(owner)
	})
	if err != nil {
		return err
	}
	b.sections = append(b.sections, section)
	return nil
}
