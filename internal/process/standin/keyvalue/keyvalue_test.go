package keyvalue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func newData() *data {
	return &data{
		index:     1,
		lastReads: map[string]readResult{},
		entries:   map[string]*entry{},
		sessions:  map[string]*session{},
	}
}

func (d *data) set(key, session string) {
	d.index++
	d.entries[key] = &entry{value: []byte{1}, createIndex: d.index, modifyIndex: d.index, session: session}
}

// TestDeletedKeysAreForgotten guards against memory that grows with every deleted
// key, and against a prefix whose index decreases when a tombstone is pruned.
func TestDeletedKeysAreForgotten(t *testing.T) {
	for name, remove := range map[string]func(d *data, key string){
		"deleted":       func(d *data, key string) { d.remove(key) },
		"session ended": func(d *data, key string) { endSession(d, "of "+key) },
	} {
		t.Run(name, func(t *testing.T) {
			Convey(name, t, func() {
				d := newData()
				var last uint64
				for i := range 10 * maxTombstones {
					key := fmt.Sprintf("fleet/%d", i)
					d.set(key, "of "+key)
					remove(d, key)
					newest := newestIndex(d, "fleet/", true)
					So(newest, ShouldBeGreaterThan, last)
					last = newest
				}
				So(len(d.entries), ShouldEqual, 0)
				So(len(d.tombstones), ShouldBeLessThanOrEqualTo, maxTombstones)
				d.set("other", "")
				for range maxTombstones + 1 {
					d.remove("other")
				}
				So(newestIndex(d, "fleet/", true), ShouldBeGreaterThanOrEqualTo, last)
			})
		})
	}
}

// TestOldAnswers guards against a stale read that returns current data, and against
// more stale reads than were requested.
func TestOldAnswers(t *testing.T) {
	Convey("One old answer", t, func() {
		d := newData()
		d.set("a", "")
		first := d.read("a", false)
		d.set("a", "")
		d.faults = NewFaults(false, time.Duration(0), 0).WithStaleReads(1)
		So(d.read("a", false), ShouldResemble, first)
		So(d.read("a", false).newest, ShouldBeGreaterThan, first.newest)
	})
}
