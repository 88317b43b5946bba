package network

import (
	"context"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/link"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

func (n *Network) linkTo(now time.Time, peer identity.Process) *link.Link {
	l, ok := n.links[peer]
	if !ok {
		_, dialable := n.addresses[peer]
		l = link.New(now, peer, dialable)
		if n.hint != nil {
			l.SetHint(n.hint)
		}
		n.links[peer] = l
	}
	return l
}

func (n *Network) receiveFrame(ctx context.Context, now time.Time, m frameReceived) {
	l, ok := n.links[m.peer]
	if !ok || n.partitioned(m.peer) {
		return
	}
	n.apply(ctx, l, l.Receive(now, m.frame))
}

func (n *Network) partitioned(p identity.Process) bool {
	return n.seams.Partitioned != nil && n.seams.Partitioned(p)
}

func (n *Network) streamOpened(ctx context.Context, now time.Time, m streamOpened) {
	if n.replaced[m.peer] {
		// A stream of a replaced incarnation can open after one of its successor.
		m.stream.close()
		return
	}
	if !m.expected.IsZero() && m.expected != m.peer {
		n.markReplaced(ctx, m.expected)
	}
	if m.address != "" {
		n.addresses[m.peer] = m.address
	}
	for p := range n.links {
		if p.Name() == m.peer.Name() && p != m.peer {
			n.markReplaced(ctx, p)
		}
	}
	l := n.linkTo(now, m.peer)
	l.SetDialable()
	n.streams[m.stream.id] = m.stream
	n.apply(ctx, l, l.StreamOpened(now, m.stream.id))
}

// markReplaced removes the link to an incarnation of a process that another one has
// replaced.
func (n *Network) markReplaced(ctx context.Context, p identity.Process) {
	delete(n.links, p)
	delete(n.addresses, p)
	if n.replaced[p] {
		return
	}
	if len(n.replacedOrder) == maxReplaced {
		delete(n.replaced, n.replacedOrder[0])
		n.replacedOrder = n.replacedOrder[1:]
	}
	n.replaced[p] = true
	n.replacedOrder = append(n.replacedOrder, p)
	n.seams.Deliver(ctx, message.NewProcessEnded(p))
}

func (n *Network) streamClosed(ctx context.Context, now time.Time, m streamClosed) {
	if s, ok := n.streams[m.stream]; ok {
		s.close()
		delete(n.streams, m.stream)
	}
	if l, ok := n.links[m.peer]; ok {
		n.apply(ctx, l, l.StreamClosed(now, m.stream))
	}
}
