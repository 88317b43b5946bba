package directory_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/wire"
	"greengagedoor.example/greengagedoor/internal/process/standin/sizing"
	"greengagedoor.example/greengagedoor/internal/process/store"
)

// capacity adds the measurements at 900 and 2,000 members, which take some minutes.
var capacity = flag.Bool("capacity", false, "measure at 10, 50, 200, 900 and 2,000 members")

const (
	cellSize    = 36
	settleTime  = 20 * time.Second
	measureTime = 10 * time.Second
	// frameBytes is the size of a link frame without its message: 16 B of numbers and
	// credit, 5 B of gRPC and 9 B of HTTP/2. TCP and IP headers are not counted.
	frameBytes = 30
	// heartbeatBytes is the size of a link heartbeat with a capacity hint for one
	// service.
	heartbeatBytes = frameBytes + 25
	// heartbeatInterval is the mean interval of link heartbeats. A link sends one after
	// 300 ms without traffic, which it checks every 100 ms.
	heartbeatInterval = 350 * time.Millisecond
)

// load is the load of a fleet in steady state: calls per second to the store, waiting
// watches, and bytes per second of a member, of a directory and of its idle links.
type load struct {
	writes    float64
	reads     float64
	watches   float64
	member    float64
	directory float64
	links     float64
}

type pair struct{ from, to *node }

func measure(t *testing.T, members int) load {
	s := newSimulation(t, 1, 1024)
	for i := range members {
		cell := fmt.Sprintf("0.%c.%d", 'a'+i%7, i/7/cellSize)
		s.add(fmt.Sprintf("agent-%04d", i), string(rune('a'+i%7)), cell, uint64(i+1))
	}
	s.run(settleTime)
	if !s.allServed() {
		t.Fatalf("%d members: %d shards served after %v", members, s.servedShards(), settleTime)
	}
	messages, heartbeats := map[*node]float64{}, map[*node]float64{}
	last := map[pair]time.Time{}
	s.onSend = func(from, to *node, body any) {
		if from == to {
			return
		}
		data, err := wire.Encode(body)
		if err != nil {
			t.Fatal(err)
		}
		p := pair{from, to}
		gap := time.Duration(0)
		if at, ok := last[p]; ok {
			gap = s.now.Sub(at)
		}
		last[p] = s.now
		for _, n := range []*node{from, to} {
			messages[n] += float64(len(data) + frameBytes)
			heartbeats[n] += float64(gap/heartbeatInterval) * heartbeatBytes
		}
	}
	s.store.reads, s.store.writes = 0, 0
	s.run(measureTime)
	l := load{writes: float64(s.store.writes) / measureTime.Seconds()}
	var plainMembers, directories float64
	for _, n := range s.nodes {
		if len(n.directory.Cells()) > 0 {
			directories++
			l.directory += messages[n]
			l.links += heartbeats[n]
		} else {
			plainMembers++
			l.member += messages[n]
		}
	}
	l.watches = 2 * directories
	// Each waiting watch returns once per 30 s.
	l.reads = float64(s.store.reads)/measureTime.Seconds() + l.watches/30
	l.directory /= directories * measureTime.Seconds()
	l.links /= directories * measureTime.Seconds()
	l.member /= max(plainMembers, 1) * measureTime.Seconds()
	return l
}

// retainedHeap returns the bytes of heap that the result of build retains.
func retainedHeap(build func() any) float64 {
	heapAlloc := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heapAlloc()
	v := build()
	after := heapAlloc()
	runtime.KeepAlive(v)
	return float64(after) - float64(before)
}

// fleetHeap returns the bytes of heap of the decoded fleet, which each directory has.
func fleetHeap(t *testing.T, members int) float64 {
	s := newSimulation(t, 1, 1024)
	for i := range members {
		s.add(fmt.Sprintf("agent-%04d", i), "a", fmt.Sprintf("0.a.%d", i/cellSize), uint64(i+1))
	}
	s.run(settleTime / 2)
	f := s.store.list()
	var pairs []store.Pair
	for _, c := range f.Cells() {
		value, err := wire.EncodeMemberList(c)
		if err != nil {
			t.Fatal(err)
		}
		pairs = append(pairs, store.NewPair(wire.MemberListKey(c.Name()), value, c.Index(), ""))
	}
	for _, g := range f.Groups() {
		value, err := wire.EncodeGroup(g)
		if err != nil {
			t.Fatal(err)
		}
		pairs = append(pairs, store.NewPair(wire.GroupKey(g.Number()), value, g.Index(), ""))
	}
	size := retainedHeap(func() any {
		f, err := wire.DecodeFleet(pairs, 1)
		if err != nil {
			t.Fatal(err)
		}
		return f
	})
	// Memory that is freed during the measurement would be subtracted from the result.
	runtime.KeepAlive(s)
	runtime.KeepAlive(pairs)
	runtime.KeepAlive(f)
	return size
}

// memberHeap returns the bytes of heap of the state machines per member, without the
// fleet, which all simulated directories share.
func memberHeap(t *testing.T, members int) float64 {
	return retainedHeap(func() any {
		s := newSimulation(t, 1, 1024)
		for i := range members {
			s.add(fmt.Sprintf("agent-%04d", i), "a", fmt.Sprintf("0.a.%d", i/cellSize), uint64(i+1))
		}
		s.run(settleTime / 2)
		return s
	}) / float64(members)
}

// Guards against a load on the store or a node in steady state above the targets in the
// design page. With -capacity it measures up to 2,000 members.
func TestCapacity(t *testing.T) {
	sizes := []int{10, 50, 200}
	if *capacity {
		// One of two regions at the two-year size, and all of it in one region.
		sizes = append(sizes, 900, 2000)
	}
	loads := map[int]load{}
	for _, n := range sizes {
		loads[n] = measure(t, n)
	}
	var rows []sizing.Row
	for _, r := range []struct {
		name string
		unit string
		of   func(n int) float64
	}{
		{"store writes", "calls/s per member", func(n int) float64 { return loads[n].writes }},
		{"store reads", "calls/s per member", func(n int) float64 { return loads[n].reads }},
		{"waiting watches", "watches per member", func(n int) float64 { return loads[n].watches }},
		{"messages of a member", "B/s per member", func(n int) float64 { return loads[n].member }},
		{"messages of a directory", "B/s per member", func(n int) float64 { return loads[n].directory }},
		{"link heartbeats of a directory", "B/s per member", func(n int) float64 { return loads[n].links }},
		{"fleet at a directory", "B per member", func(n int) float64 { return fleetHeap(t, n) }},
		{"decisions of each member", "B per member", func(n int) float64 { return memberHeap(t, n) }},
	} {
		row, err := sizing.Measure(r.name, r.unit, sizes, func(n int) (float64, error) { return r.of(n), nil })
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, row)
	}
	if testing.Verbose() {
		if err := sizing.Print(os.Stdout, rows); err != nil {
			t.Fatal(err)
		}
	}
	Convey("The targets at 1,800 nodes", t, func() {
		So(rows[0].ValueAt(1800), ShouldBeLessThan, 100)
		So(rows[1].ValueAt(1800)+rows[2].ValueAt(1800), ShouldBeLessThan, 400)
		So(rows[3].ValueAt(1800), ShouldBeLessThan, 14_000)
	})
}
