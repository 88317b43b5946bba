package network_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"greengagedoor.example/greengagedoor/internal/connection/link/linkpb"
	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/network"
	"greengagedoor.example/greengagedoor/internal/process/standin/forwarder"
	"greengagedoor.example/greengagedoor/internal/request/message"
)

// waitTimeout limits every wait of the tests.
const waitTimeout = 10 * time.Second

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func process(name string, incarnation uint64) identity.Process {
	return must(identity.NewProcess(name, incarnation))
}

// node is a network with the events that it delivered.
type node struct {
	id       identity.Process
	network  *network.Network
	received chan any
	stop     func()
}

// newNode starts a network that announces the address to its peers. It serves links
// on l; if l is nil, peers cannot reach it.
func newNode(id identity.Process, l net.Listener, address string) *node {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := &node{
		id:       id,
		received: make(chan any, 10_000),
	}
	deliver := func(_ context.Context, e any) {
		if r, ok := e.(message.Received); ok && r.Body() == nil {
			return
		}
		n.received <- e
	}
	carrier, cleanup, err := network.New(id, address, network.Seams{
		Now:         time.Now,
		Deliver:     deliver,
		Undelivered: func(ctx context.Context, u message.Undelivered) { deliver(ctx, u) },
	}, logrus.NewEntry(log))
	if err != nil {
		panic(err)
	}
	n.network = carrier
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = carrier.Run(ctx)
	}()
	g := grpc.NewServer(network.ServerOptions()...)
	carrier.Register(g)
	served := make(chan struct{})
	go func() {
		defer close(served)
		if l != nil {
			_ = g.Serve(l)
		}
	}()
	n.stop = func() {
		cancel()
		<-done
		g.Stop()
		cleanup()
		<-served
	}
	return n
}

func (n *node) send(to identity.Process, number uint64) {
	if err := n.network.Post(message.NewSend(to, message.NewCancel(number, must(identity.NewSubmission("team", "01890000-0000-7000-8000-000000000001"))))); err != nil {
		panic(err)
	}
}

// next returns the number of the next received message; 0 after a timeout or for
// another event.
func (n *node) next() uint64 {
	select {
	case e := <-n.received:
		if r, ok := e.(message.Received); ok {
			return r.Body().(message.Cancel).Request()
		}
		return 0
	case <-time.After(waitTimeout):
		return 0
	}
}

// pair is two nodes that are connected through a forwarder. Only the caller can
// dial.
type pair struct {
	caller   *node
	listener *node
	proxy    *forwarder.Forwarder
	stop     func()
}

func newPair() *pair {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	f, cleanup, err := forwarder.New("127.0.0.1:0", l.Addr().String())
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	p := &pair{
		listener: newNode(process("listener", 1), l, f.Address()),
		caller:   newNode(process("caller", 1), nil, ""),
		proxy:    f,
	}
	if err := p.caller.network.Post(network.NewAddress(p.listener.id, f.Address())); err != nil {
		panic(err)
	}
	p.stop = func() {
		p.caller.stop()
		p.listener.stop()
		cancel()
		<-done
		cleanup()
	}
	return p
}

// TestSilentStream guards against messages that are lost or delayed by a connection
// that stays open but carries no data. They must arrive once, in order and within
// 5 s, over a new connection.
func TestSilentStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	tests := map[string]forwarder.Direction{
		"both directions": forwarder.Both,
		"forth":           forwarder.ClientToServer,
		"back":            forwarder.ServerToClient,
	}
	for name, direction := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("messages continue in both directions", t, func() {
				p := newPair()
				defer p.stop()
				p.caller.send(p.listener.id, 1)
				So(p.listener.next(), ShouldEqual, 1)
				So(p.proxy.DropOpen(context.Background(), direction), ShouldBeNil)
				began := time.Now()
				for i := range uint64(10) {
					p.caller.send(p.listener.id, 2+i)
					p.listener.send(p.caller.id, 1+i)
				}
				for i := range uint64(10) {
					So(p.listener.next(), ShouldEqual, 2+i)
					So(p.caller.next(), ShouldEqual, 1+i)
				}
				So(time.Since(began), ShouldBeLessThan, 5*time.Second)
			})
		})
	}
}

// TestRestart guards against a message for a replaced incarnation that waits
// forever or reaches the successor, and against a late stream of the replaced
// incarnation that is accepted as a new one.
func TestRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("a replaced incarnation is reported once, and nothing is sent to it", t, func() {
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		listener := newNode(process("listener", 1), l, l.Addr().String())
		defer listener.stop()
		var callers []*node
		for i := range uint64(2) {
			c := newNode(process("caller", i+1), nil, "")
			So(c.network.Post(network.NewAddress(listener.id, l.Addr().String())), ShouldBeNil)
			c.send(listener.id, i+1)
			callers = append(callers, c)
			if i == 1 {
				So(<-listener.received, ShouldResemble, message.NewProcessEnded(process("caller", 1)))
			}
			So(listener.next(), ShouldEqual, i+1)
		}
		listener.send(process("caller", 1), 7)
		u, ok := (<-listener.received).(message.Undelivered)
		So(ok, ShouldBeTrue)
		So(u.Send().To(), ShouldResemble, process("caller", 1))
		// The replaced incarnation still runs and retries.
		callers[0].send(listener.id, 8)
		callers[1].send(listener.id, 9)
		So(listener.next(), ShouldEqual, 9)
		// By then it has opened a new stream.
		<-time.After(2 * time.Second)
		callers[1].send(listener.id, 10)
		So(listener.next(), ShouldEqual, 10)
		for _, c := range callers {
			c.stop()
		}
	})
}

// TestHello guards against goroutines and connections that a peer occupies by
// sending no hello.
func TestHello(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("a stream without a hello is closed", t, func() {
		l := must(net.Listen("tcp", "127.0.0.1:0"))
		listener := newNode(process("listener", 1), l, l.Addr().String())
		defer listener.stop()
		conn := must(grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials())))
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		g := must(linkpb.NewLinkClient(conn).Exchange(ctx))
		_ = must(g.Recv())
		_, err := g.Recv()
		So(err, ShouldNotBeNil)
		So(ctx.Err(), ShouldBeNil)
	})
}

// TestStop guards against the loss of the last messages of a leaving process.
func TestStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	Convey("everything sent before the end arrives", t, func() {
		p := newPair()
		p.caller.send(p.listener.id, 1)
		So(p.listener.next(), ShouldEqual, 1)
		for i := range uint64(2000) {
			p.caller.send(p.listener.id, 2+i)
		}
		p.caller.stop()
		for i := range uint64(2000) {
			So(p.listener.next(), ShouldEqual, 2+i)
		}
		p.caller.stop = func() {}
		p.stop()
	})
}
