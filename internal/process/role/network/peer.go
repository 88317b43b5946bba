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

func (n *Network) frame(ctx context.Context, now time.Time, m frameIn) {
	l, ok := n.links[m.peer]
	if !ok || n.cut(m.peer) {
		return
	}
	n.apply(ctx, l, l.Receive(now, m.frame))
}

func (n *Network) cut(p identity.Process) bool {
	return n.seams.Partitioned != nil && n.seams.Partitioned(p)
}

func (n *Network) opened(ctx context.Context, now time.Time, m opened) {
	if n.departed[m.peer] {
		// A stream of the former run can arrive after one of its successor.
		m.stream.close()
		return
	}
	if !m.wanted.IsZero() && m.wanted != m.peer {
		n.gone(ctx, m.wanted)
	}
	if m.address != "" {
		n.addresses[m.peer] = m.address
	}
	for p := range n.links {
		if p.Name() == m.peer.Name() && p != m.peer {
			n.gone(ctx, p)
		}
	}
	l := n.linkTo(now, m.peer)
	l.SetDialable()
	n.streams[m.stream.id] = m.stream
	n.apply(ctx, l, l.StreamOpened(now, m.stream.id))
}

// gone drops the link to a run of a process that another run has replaced.
func (n *Network) gone(ctx context.Context, p identity.Process) {
	delete(n.links, p)
	delete(n.addresses, p)
	if n.departed[p] {
		return
	}
	if len(n.leaving) == maxDeparted {
		delete(n.departed, n.leaving[0])
		n.leaving = n.leaving[1:]
	}
	n.departed[p] = true
	n.leaving = append(n.leaving, p)
	n.seams.Deliver(ctx, message.NewProcessEnded(p))
}

func (n *Network) closed(ctx context.Context, now time.Time, m closed) {
	if s, ok := n.streams[m.stream]; ok {
		s.close()
		delete(n.streams, m.stream)
	}
	if l, ok := n.links[m.peer]; ok {
		n.apply(ctx, l, l.StreamClosed(now, m.stream))
	}
}
