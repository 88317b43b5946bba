package network_test

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"greengagedoor.example/greengagedoor/internal/process/role/network"
)

// BenchmarkLink measures the heap and stack memory of a link, including both ends.
func BenchmarkLink(b *testing.B) {
	const links = 50
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	for b.Loop() {
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		listener := newNode(process("listener", 1), l, l.Addr().String())
		var callers []*node
		for i := range links {
			callers = append(callers, newNode(process(fmt.Sprintf("caller%d", i), 1), nil, ""))
		}
		before := heap()
		for i, c := range callers {
			if err := c.network.Post(network.NewAddress(listener.id, l.Addr().String())); err != nil {
				b.Fatal(err)
			}
			c.send(listener.id, uint64(i+1))
			listener.next()
		}
		b.ReportMetric((heap()-before)/links, "B/link")
		for _, c := range callers {
			c.stop()
		}
		listener.stop()
	}
}
