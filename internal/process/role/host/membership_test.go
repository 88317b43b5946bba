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

// testCluster is a stand-in store for agents and entries of one cluster.
type testCluster struct {
	t     *testing.T
	kv    *keyvalue.Store
	url   string
	store *store.Store
}

func newTestCluster(t *testing.T) *testCluster {
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
	return &testCluster{
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

// start runs an agent. The returned function stops it gracefully.
func (tc *testCluster) start(name, zone string, incarnation uint64) func() {
	id, err := identity.NewProcess(name, incarnation)
	if err != nil {
		tc.t.Fatal(err)
	}
	l := logrus.New()
	l.SetLevel(logrus.ErrorLevel)
	if testing.Verbose() {
		l.SetLevel(logrus.InfoLevel)
	}
	c, err := NewCommon(id, 0, 1, 64, zone, freeAddress(tc.t), freeAddress(tc.t), tc.store, logrus.NewEntry(l).WithField("process", name))
	if err != nil {
		tc.t.Fatal(err)
	}
	a, cleanup, err := NewAgent(c, "", agent.Worker{}, incarnation)
	if err != nil {
		tc.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := a.Run(ctx); err != nil {
			tc.t.Errorf("%s: %v", name, err)
		}
		cleanup()
	}()
	return func() {
		stop()
		<-done
	}
}

// stopAll stops agents concurrently and waits for them.
func stopAll(stops []func()) {
	var all sync.WaitGroup
	for _, stop := range stops {
		all.Add(1)
		go func() {
			defer all.Done()
			stop()
		}()
	}
	all.Wait()
}

// shardCounts returns the number of shards of each owner.
func (tc *testCluster) shardCounts() map[string]int {
	pairs, index, err := tc.store.List(context.Background(), wire.FleetPrefix)
	if err != nil {
		return nil
	}
	f, err := wire.DecodeFleet(pairs, index)
	if err != nil {
		tc.t.Fatal(err)
	}
	n := map[string]int{}
	for _, g := range f.Groups() {
		for _, r := range g.Routes() {
			n[r.Owner().Name()]++
		}
	}
	return n
}

func (tc *testCluster) awaitShards(limit time.Duration, ok func(map[string]int) bool) time.Duration {
	startedAt := time.Now()
	for time.Since(startedAt) < limit {
		if ok(tc.shardCounts()) {
			return time.Since(startedAt)
		}
		time.Sleep(20 * time.Millisecond)
	}
	tc.t.Errorf("shard distribution not reached within %v, got %v", limit, tc.shardCounts())
	return limit
}

// TestShardsSpreadOverJoiningAndLeavingAgents guards against shards that stay without
// owner, or all with the first agent, after agents join and leave.
func TestShardsSpreadOverJoiningAndLeavingAgents(t *testing.T) {
	Convey("Three zones with two agents each", t, func() {
		tc := newTestCluster(t)
		var stops []func()
		for i := range 6 {
			stops = append(stops, tc.start(fmt.Sprintf("a%d", i), string(rune('a'+i%3)), uint64(i+1)))
		}
		d := tc.awaitShards(15*time.Second, func(n map[string]int) bool {
			for i := range 6 {
				if n[fmt.Sprintf("a%d", i)] < 5 {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		t.Logf("distributed after %v: %v", d, tc.shardCounts())
		startedAt := time.Now()
		stops[0]()
		t.Logf("left after %v: %v", time.Since(startedAt), tc.shardCounts())
		So(tc.shardCounts()["a0"], ShouldEqual, 0)
		stopAll(stops[1:])
		t.Logf("all left after %v", time.Since(startedAt))
	})
}

// publish writes a configuration version to the store in the format of the publisher.
func (tc *testCluster) publish(version uint64) {
	limits, err := configuration.NewLimits(10, time.Minute)
	if err != nil {
		tc.t.Fatal(err)
	}
	team, err := configuration.NewTeam("t", 1, 0)
	if err != nil {
		tc.t.Fatal(err)
	}
	cfg, err := configuration.New(version, limits, []configuration.Team{team}, nil)
	if err != nil {
		tc.t.Fatal(err)
	}
	body, err := configuration.Encode(cfg)
	if err != nil {
		tc.t.Fatal(err)
	}
	h, err := configuration.NewHead(version, body, "test")
	if err != nil {
		tc.t.Fatal(err)
	}
	data, err := configuration.EncodeHead(h)
	if err != nil {
		tc.t.Fatal(err)
	}
	ctx := context.Background()
	if ok, err := tc.store.CompareAndSwap(ctx, h.Key(), body, 0); err != nil || !ok {
		tc.t.Fatal(ok, err)
	}
	var index uint64
	if old, err := tc.store.Read(ctx, configuration.HeadKey); err == nil {
		index = old.Index()
	}
	if ok, err := tc.store.CompareAndSwap(ctx, configuration.HeadKey, data, index); err != nil || !ok {
		tc.t.Fatal(ok, err)
	}
}

// TestEntryBecomesReadyAndFollowsVersions guards against an entry that never receives
// the configuration or the routes, and against a version that does not reach a running
// process.
func TestEntryBecomesReadyAndFollowsVersions(t *testing.T) {
	Convey("An entry with two agents", t, func() {
		tc := newTestCluster(t)
		defer tc.start("a0", "a", 1)()
		defer tc.start("a1", "a", 2)()
		id, err := identity.NewProcess("e0", 3)
		So(err, ShouldBeNil)
		l := logrus.New()
		l.SetLevel(logrus.ErrorLevel)
		address := freeAddress(t)
		c, err := NewCommon(id, 0, 1, 64, "a", freeAddress(t), address, tc.store, logrus.NewEntry(l))
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
		tc.publish(1)
		startedAt := time.Now()
		for !e.ready.Load() && time.Since(startedAt) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		So(e.ready.Load(), ShouldBeTrue)
		t.Logf("entry ready %v after the first version", time.Since(startedAt))
	})
}

// TestAgentsJoinUnderStoreFaults guards against agents that do not join, or shards
// without owner, when store answers are lost, slow or stale, or report an error although
// the change took effect.
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
				tc := newTestCluster(t)
				stops := []func(){tc.start("a0", "a", 1)}
				tc.awaitShards(10*time.Second, func(n map[string]int) bool { return n["a0"] == 64 })
				So(tc.kv.SetFaults(context.Background(), f), ShouldBeNil)
				stops = append(stops, tc.start("a1", "a", 2), tc.start("b0", "b", 3))
				defer stopAll(stops)
				time.Sleep(time.Second)
				if name == "down, then available" {
					So(tc.kv.SetFaults(context.Background(), keyvalue.NewFaults(false, 0, 0)), ShouldBeNil)
				}
				d := tc.awaitShards(20*time.Second, func(n map[string]int) bool { return n["a0"] >= 10 && n["a1"] >= 10 && n["b0"] >= 10 })
				t.Logf("%s: distributed over all agents after %v", name, d+time.Second)
			})
		})
	}
}
