package main

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// path is a proxy on the way to a process, which delays what it passes on.
type path struct {
	listener net.Listener
	to       string
	// delay is the time in ns that each part takes one way.
	delay atomic.Int64
}

func newPath(listen, to string) (*path, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &path{
		listener: l,
		to:       to,
	}
	go p.accept()
	return p, nil
}

func (p *path) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.pass(in, out)
		go p.pass(out, in)
	}
}

// part is what was read at once, and when it is passed on.
type part struct {
	bytes []byte
	due   time.Time
}

func (p *path) pass(from, to net.Conn) {
	parts := make(chan part, 4096)
	go func() {
		for x := range parts {
			pause(time.Until(x.due))
			if _, err := to.Write(x.bytes); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}()
	defer close(parts)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			parts <- part{
				bytes: b[:n],
				due:   time.Now().Add(time.Duration(p.delay.Load())),
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}
