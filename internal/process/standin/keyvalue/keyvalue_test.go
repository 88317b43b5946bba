package keyvalue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func newData() *data {
	return &data{
		index:    1,
		former:   map[string]listed{},
		entries:  map[string]*entry{},
		sessions: map[string]*session{},
	}
}

func (d *data) set(key, session string) {
	d.index++
	d.entries[key] = &entry{value: []byte{1}, create: d.index, modify: d.index, session: session}
}

// Guards against a stand-in that grows with every deleted key, and against a
// prefix whose index goes back when a deletion is forgotten.
func TestDeletedKeysAreForgotten(t *testing.T) {
	for name, remove := range map[string]func(d *data, key string){
		"deleted":       func(d *data, key string) { d.remove(key) },
		"session ended": func(d *data, key string) { drop(d, "of "+key) },
	} {
		t.Run(name, func(t *testing.T) {
			Convey(name, t, func() {
				d := newData()
				var last uint64
				for i := range 10 * maxTombstones {
					key := fmt.Sprintf("fleet/%d", i)
					d.set(key, "of "+key)
					remove(d, key)
					newest := indexOf(d, "fleet/", true)
					So(newest, ShouldBeGreaterThan, last)
					last = newest
				}
				So(len(d.entries), ShouldEqual, 0)
				So(len(d.deleted), ShouldBeLessThanOrEqualTo, maxTombstones)
				d.set("other", "")
				for range maxTombstones + 1 {
					d.remove("other")
				}
				So(indexOf(d, "fleet/", true), ShouldBeGreaterThanOrEqualTo, last)
			})
		})
	}
}

// Guards against an old answer that is not old, or that comes more often than it
// was asked for.
func TestOldAnswers(t *testing.T) {
	Convey("One old answer", t, func() {
		d := newData()
		d.set("a", "")
		first := d.answer("a", false)
		d.set("a", "")
		d.faults = NewFaults(false, time.Duration(0), 0).WithStaleReads(1)
		So(d.answer("a", false), ShouldResemble, first)
		So(d.answer("a", false).newest, ShouldBeGreaterThan, first.newest)
	})
}
