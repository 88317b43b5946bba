package simulation_test

import (
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
)

const (
	// turnBytes is what a link carries of one connection before the next one's turn.
	turnBytes = 8 << 10
	// frameOverhead is what the headers of a frame take on the link, in bytes.
	frameOverhead = 100
	// networkDelay is the time between two hosts.
	networkDelay = time.Millisecond
	// fastLink and smallLink are the capacities of hosts' links, in bytes a second:
	// 1,000 and 19 Mbit/s.
	fastLink  = 125_000_000
	smallLink = 2_375_000
)

func frameBytes(f frame.Frame) int {
	return len(frame.Encode(f)) + frameOverhead
}

// simNetwork carries messages over the links of hosts. A link serves its connections
// in turn, and the messages of a connection in their order.
type simNetwork struct {
	c *cluster
	// rates has the capacity of links in bytes a second; fastLink where a host has none.
	rates map[string]int
	out   map[string]*pipe
	in    map[string]*pipe
	// bytes counts what was sent, and configurationBytes by its sender what of it carried
	// pieces of configurations or requests for them.
	bytes              int
	configurationBytes map[string]int
}

func newSimNetwork(c *cluster, rates map[string]int) *simNetwork {
	return &simNetwork{
		c:                  c,
		rates:              rates,
		out:                map[string]*pipe{},
		in:                 map[string]*pipe{},
		configurationBytes: map[string]int{},
	}
}

// sendFrame carries a frame of a connection between two processes.
func (n *simNetwork) sendFrame(from, to string, connection uint64, f frame.Frame, open func() bool, deliver func()) {
	bytes := frameBytes(f)
	if f.Content() == frame.ContentConfiguration {
		n.configurationBytes[from] += bytes
	}
	n.send(from, to, connection, bytes, open, deliver)
}

// send carries a message of a connection between two hosts, unless the connection is
// closed before the message is on the link.
func (n *simNetwork) send(from, to string, connection uint64, bytes int, open func() bool, deliver func()) {
	n.bytes += bytes
	n.pipe(n.out, from).push(connection, parcel{
		bytes: bytes,
		open:  open,
		done: func() {
			n.c.after(networkDelay, func() {
				n.pipe(n.in, to).push(connection, parcel{
					bytes: bytes,
					open:  open,
					done:  deliver,
				})
			})
		},
	})
}

func (n *simNetwork) pipe(direction map[string]*pipe, host string) *pipe {
	p, ok := direction[host]
	if !ok {
		rate, ok := n.rates[host]
		if !ok {
			rate = fastLink
		}
		p = &pipe{
			c:      n.c,
			rate:   rate,
			queues: map[uint64][]parcel{},
		}
		direction[host] = p
	}
	return p
}

// parcel is a message on one side of a link.
type parcel struct {
	bytes int
	open  func() bool
	done  func()
}

// pipe is one direction of a host's link.
type pipe struct {
	c      *cluster
	rate   int
	queues map[uint64][]parcel
	// turns lists the connections with waiting messages.
	turns []uint64
	busy  bool
}

func (p *pipe) push(connection uint64, x parcel) {
	if len(p.queues[connection]) == 0 {
		p.turns = append(p.turns, connection)
	}
	p.queues[connection] = append(p.queues[connection], x)
	if !p.busy {
		p.serve()
	}
}

func (p *pipe) serve() {
	p.busy = len(p.turns) > 0
	if !p.busy {
		return
	}
	connection := p.turns[0]
	p.turns = p.turns[1:]
	x := p.queues[connection][0]
	if !x.open() {
		p.next(connection)
		p.serve()
		return
	}
	n := min(x.bytes, turnBytes)
	p.c.after(time.Duration(n)*time.Second/time.Duration(p.rate), func() {
		p.queues[connection][0].bytes -= n
		if x.bytes > n {
			p.turns = append(p.turns, connection)
		} else {
			p.next(connection)
			x.done()
		}
		p.serve()
	})
}

// next removes the first message of a connection.
func (p *pipe) next(connection uint64) {
	p.queues[connection] = p.queues[connection][1:]
	if len(p.queues[connection]) > 0 {
		p.turns = append(p.turns, connection)
	}
}
