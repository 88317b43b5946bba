package host

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/identity"
	"greengagedoor.example/greengagedoor/internal/process/role/agent"
	"greengagedoor.example/greengagedoor/internal/process/role/wire"
	"greengagedoor.example/greengagedoor/internal/process/standin/keyvalue"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

type platform struct {
	t     *testing.T
	kv    *keyvalue.Store
	url   string
	store *store.Store
}

func newPlatform(t *testing.T) *platform {
	ctx, stop := context.WithCancel(context.Background())
	s, err := keyvalue.New(time.Now)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(ctx) }()
	e := echo.New()
	s.Register(e)
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		stop()
	})
	st, cleanup, err := store.New(server.URL, StoreTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return &platform{
		t:     t,
		kv:    s,
		url:   server.URL,
		store: st,
	}
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start runs an agent; the returned function ends it gracefully.
func (p *platform) start(name, zone string, incarnation uint64) func() {
	id, err := identity.NewProcess(name, incarnation)
	if err != nil {
		p.t.Fatal(err)
	}
	l := logrus.New()
	l.SetLevel(logrus.ErrorLevel)
	if testing.Verbose() {
		l.SetLevel(logrus.InfoLevel)
	}
	c, err := NewCommon(id, 0, 1, 64, zone, freeAddress(p.t), freeAddress(p.t), p.store, logrus.NewEntry(l).WithField("process", name))
	if err != nil {
		p.t.Fatal(err)
	}
	a, cleanup, err := NewAgent(c, "", agent.Worker{}, incarnation)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := a.Run(ctx); err != nil {
			p.t.Errorf("%s: %v", name, err)
		}
		cleanup()
	}()
	return func() {
		stop()
		<-done
	}
}

// endAll ends agents at the same time and waits for them.
func endAll(ends []func()) {
	var all sync.WaitGroup
	for _, end := range ends {
		all.Add(1)
		go func() {
			defer all.Done()
			end()
		}()
	}
	all.Wait()
}

// loads counts the shards of each live owner.
func (p *platform) loads() map[string]int {
	pairs, index, err := p.store.List(context.Background(), wire.FleetPrefix)
	if err != nil {
		return nil
	}
	f, err := wire.DecodeFleet(pairs, index)
	if err != nil {
		p.t.Fatal(err)
	}
	n := map[string]int{}
	for _, g := range f.Groups() {
		for _, r := range g.Routes() {
			n[r.Owner().Name()]++
		}
	}
	return n
}

func (p *platform) await(limit time.Duration, ok func(map[string]int) bool) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		if ok(p.loads()) {
			return time.Since(began)
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.t.Errorf("not reached within %v: %v", limit, p.loads())
	return limit
}

// Guards against shards that stay without owner, or all with the first agent,
// after agents joined and left.
func TestShardsSpreadOverJoiningAndLeavingAgents(t *testing.T) {
	Convey("Three zones with two agents each", t, func() {
		p := newPlatform(t)
		var ends []func()
		for i := range 6 {
			ends = append(ends, p.start(fmt.Sprintf("a%d", i), string(rune('a'+i%3)), uint64(i+1)))
		}
		d := p.await(15*time.Second, func(n map[string]int) bool {
			for i := range 6 {
				if n[fmt.Sprintf("a%d", i)] < 5 {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		t.Logf("spread after %v: %v", d, p.loads())
		began := time.Now()
		ends[0]()
		t.Logf("left after %v: %v", time.Since(began), p.loads())
		So(p.loads()["a0"], ShouldEqual, 0)
		endAll(ends[1:])
		t.Logf("all left after %v", time.Since(began))
	})
}

// publish writes a configuration version as a publisher does.
func (p *platform) publish(version uint64) {
	limits, err := configuration.NewLimits(10, time.Minute)
	if err != nil {
		p.t.Fatal(err)
	}
	team, err := configuration.NewTeam("t", 1, 0)
	if err != nil {
		p.t.Fatal(err)
	}
	cfg, err := configuration.New(version, limits, []configuration.Team{team}, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	body, err := configuration.Encode(cfg)
	if err != nil {
		p.t.Fatal(err)
	}
	h, err := configuration.NewHead(version, body, "test")
	if err != nil {
		p.t.Fatal(err)
	}
	data, err := configuration.EncodeHead(h)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx := context.Background()
	if ok, err := p.store.CompareAndSwap(ctx, h.Key(), body, 0); err != nil || !ok {
		p.t.Fatal(ok, err)
	}
	var index uint64
	if old, err := p.store.Read(ctx, configuration.HeadKey); err == nil {
		index = old.Index()
	}
	if ok, err := p.store.CompareAndSwap(ctx, configuration.HeadKey, data, index); err != nil || !ok {
		p.t.Fatal(ok, err)
	}
}

// Guards against an entry that never learns the configuration or the shard map,
// and against a version that does not reach a process that already runs.
func TestEntryBecomesReadyAndFollowsVersions(t *testing.T) {
	Convey("An entry with two agents", t, func() {
		p := newPlatform(t)
		defer p.start("a0", "a", 1)()
		defer p.start("a1", "a", 2)()
		id, err := identity.NewProcess("e0", 3)
		So(err, ShouldBeNil)
		l := logrus.New()
		l.SetLevel(logrus.ErrorLevel)
		address := freeAddress(t)
		c, err := NewCommon(id, 0, 1, 64, "a", freeAddress(t), address, p.store, logrus.NewEntry(l))
		So(err, ShouldBeNil)
		e, cleanup, err := NewEntry(c)
		So(err, ShouldBeNil)
		defer cleanup()
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = e.Run(ctx)
		}()
		defer func() {
			stop()
			<-done
		}()
		So(e.ready.Load(), ShouldBeFalse)
		p.publish(1)
		began := time.Now()
		for !e.ready.Load() && time.Since(began) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		So(e.ready.Load(), ShouldBeTrue)
		t.Logf("entry ready %v after the first version", time.Since(began))
	})
}

// Guards against agents that stay out, or shards without owner, after store
// answers that were lost or an error once the change took effect, or that were old.
func TestAgentsJoinUnderStoreFaults(t *testing.T) {
	for name, f := range map[string]keyvalue.Faults{
		"lost answers":         keyvalue.NewFaults(false, 0, 4),
		"errors after changes": keyvalue.NewFaults(false, 0, 0).WithFailuresAfterCommit(4),
		"old answers":          keyvalue.NewFaults(false, 0, 0).WithStaleReads(6),
		"slow answers":         keyvalue.NewFaults(false, 150*time.Millisecond, 0),
		"slow, lost and old":   keyvalue.NewFaults(false, 50*time.Millisecond, 4).WithStaleReads(6),
		"down, then available": keyvalue.NewFaults(true, 0, 0),
	} {
		t.Run(name, func(t *testing.T) {
			Convey(name, t, func() {
				p := newPlatform(t)
				ends := []func(){p.start("a0", "a", 1)}
				p.await(10*time.Second, func(n map[string]int) bool { return n["a0"] == 64 })
				So(p.kv.SetFaults(context.Background(), f), ShouldBeNil)
				ends = append(ends, p.start("a1", "a", 2), p.start("b0", "b", 3))
				defer endAll(ends)
				time.Sleep(time.Second)
				if name == "down, then available" {
					So(p.kv.SetFaults(context.Background(), keyvalue.NewFaults(false, 0, 0)), ShouldBeNil)
				}
				d := p.await(20*time.Second, func(n map[string]int) bool { return n["a0"] >= 10 && n["a1"] >= 10 && n["b0"] >= 10 })
				t.Logf("%s: spread over all agents after %v", name, d+time.Second)
			})
		})
	}
}
