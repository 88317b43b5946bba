package service_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/process/role/publisher/service"
	"greengagedoor.example/greengagedoor/internal/process/store"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

// memory is a stand-in for the store that injects faults. One goroutine owns its
// state.
type memory struct {
	calls      chan func()
	keys       map[string]store.Pair
	index      uint64
	random     *rand.Rand
	faultRate  float64
	heads      []configuration.Head
	violations []string
	delayed    []func()
}

func newMemory(t *testing.T, seed uint64, faultRate float64) *memory {
	m := &memory{
		calls:     make(chan func()),
		keys:      map[string]store.Pair{},
		random:    rand.New(rand.NewPCG(seed, seed)),
		faultRate: faultRate,
	}
	go func() {
		for f := range m.calls {
			f()
		}
	}()
	t.Cleanup(func() { close(m.calls) })
	return m
}

func (m *memory) do(f func()) {
	done := make(chan struct{})
	m.calls <- func() {
		f()
		close(done)
	}
	<-done
}

// compareAndSwap injects faults: an error before the change, or a lost answer to a
// change that took effect or is still in transit.
func (m *memory) compareAndSwap(key string, value []byte, index uint64) (ok bool, err error) {
	m.do(func() {
		m.applyDelayed()
		fault := m.random.Float64() / max(m.faultRate, 1e-9)
		switch {
		case fault < 0.3:
			err = store.ErrUnavailable
		case fault < 0.6:
			err = store.ErrUnknown
			m.delayed = append(m.delayed, func() { m.put(key, value, index) })
		case fault < 1:
			err = store.ErrUnknown
			m.put(key, value, index)
		default:
			ok = m.put(key, value, index)
		}
	})
	return ok, err
}

// applyDelayed applies some of the changes that are in transit.
func (m *memory) applyDelayed() {
	for len(m.delayed) > 0 && m.random.Float64() < 0.3 {
		n := m.random.IntN(len(m.delayed))
		m.delayed[n]()
		m.delayed = append(m.delayed[:n], m.delayed[n+1:]...)
	}
}

func (m *memory) put(key string, value []byte, index uint64) bool {
	if m.keys[key].Index() != index {
		return false
	}
	m.index++
	m.keys[key] = store.NewPair(key, value, m.index, "")
	if key == configuration.HeadKey {
		m.checkHead(value)
	}
	return true
}

// checkHead checks what readers of the head rely on: the body matches the digest,
// and versions only increase.
func (m *memory) checkHead(value []byte) {
	h, err := configuration.DecodeHead(value)
	if err != nil {
		m.violations = append(m.violations, err.Error())
		return
	}
	if err := h.Check(m.keys[h.Key()].Value()); err != nil {
		m.violations = append(m.violations, err.Error())
	}
	if n := len(m.heads); n > 0 && m.heads[n-1].Version() >= h.Version() {
		m.violations = append(m.violations, "version did not increase")
	}
	m.heads = append(m.heads, h)
}

func (m *memory) store() *store.Store {
	return &store.Store{
		Read: func(_ context.Context, key string) (p store.Pair, err error) {
			m.do(func() {
				var ok bool
				if p, ok = m.keys[key]; !ok {
					err = store.ErrNotFound
				}
				if m.random.Float64() < m.faultRate/3 {
					p, err = store.Pair{}, store.ErrUnavailable
				}
			})
			return p, err
		},
		CompareAndSwap: func(_ context.Context, key string, value []byte, index uint64) (bool, error) {
			return m.compareAndSwap(key, value, index)
		},
		Delete: func(_ context.Context, key string) error {
			m.do(func() { delete(m.keys, key) })
			return nil
		},
	}
}

func newService(m *memory) *service.Service {
	s, err := service.New(m.store(), time.Now)
	if err != nil {
		panic(err)
	}
	return s.WithWait(func(context.Context, time.Duration) {})
}

func content(tasks int) *configuration.Configuration {
	l, err := configuration.NewLimits(tasks, 10*time.Minute)
	if err != nil {
		panic(err)
	}
	team, err := configuration.NewTeam("a", 1, 0)
	if err != nil {
		panic(err)
	}
	c, err := configuration.New(0, l, []configuration.Team{team}, nil)
	if err != nil {
		panic(err)
	}
	return c
}

func apply(t *testing.T, s *service.Service, key string, base uint64, c *configuration.Configuration) publisher.Result {
	t.Helper()
	r, err := s.Execute(context.Background(), publisher.NewApply(key, "ann", base, c))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestApply guards against a wrong result of a change when the store works.
func TestApply(t *testing.T) {
	Convey("versions follow each other", t, func() {
		m := newMemory(t, 1, 0)
		s := newService(m)
		r := apply(t, s, "k1", 0, content(10))
		So(r.State(), ShouldEqual, publisher.Applied)
		So(r.Version(), ShouldEqual, 1)
		So(r.Audited(), ShouldBeTrue)
		So(apply(t, s, "k2", 1, content(20)).Version(), ShouldEqual, 2)
		Convey("a repetition has the same result", func() {
			r := apply(t, s, "k1", 0, content(10))
			So(r.State(), ShouldEqual, publisher.Applied)
			So(r.Version(), ShouldEqual, 1)
			So(r.Repeated(), ShouldBeTrue)
			So(m.heads, ShouldHaveLength, 2)
		})
		Convey("a key with a different content is a conflict", func() {
			So(apply(t, s, "k1", 0, content(11)).State(), ShouldEqual, publisher.Conflict)
		})
		Convey("a stale base is refused with both versions and their differences", func() {
			r := apply(t, s, "k3", 1, content(30))
			So(r.State(), ShouldEqual, publisher.Stale)
			So(r.Base(), ShouldEqual, 1)
			So(r.Current(), ShouldEqual, 2)
			So(fmt.Sprint(r.Changes()), ShouldContainSubstring, "max_tasks from 10 to 20")
		})
		Convey("a contradiction is refused", func() {
			empty, err := configuration.New(0, content(1).Limits(), nil, nil)
			So(err, ShouldBeNil)
			r := apply(t, s, "k3", 2, empty)
			So(r.State(), ShouldEqual, publisher.Invalid)
			So(r.Problems(), ShouldHaveLength, 1)
		})
		Convey("a team cannot move to another region", func() {
			moved, err := configuration.NewTeam("a", 1, 1)
			So(err, ShouldBeNil)
			c, err := configuration.New(0, content(1).Limits().WithRegions(2), []configuration.Team{moved}, nil)
			So(err, ShouldBeNil)
			r := apply(t, s, "k3", 2, c)
			So(r.State(), ShouldEqual, publisher.Invalid)
			So(fmt.Sprint(r.Problems()), ShouldContainSubstring, "home region of a team is fixed")
		})
		Convey("a rollback is a new version with the old content", func() {
			r, err := s.Execute(context.Background(), publisher.NewRollback("k3", "bob", 2, 1))
			So(err, ShouldBeNil)
			So(r.Version(), ShouldEqual, 3)
			c, err := s.Current(context.Background())
			So(err, ShouldBeNil)
			So(c.Version(), ShouldEqual, 3)
			So(c.Limits().MaxTasks(), ShouldEqual, 10)
			r, err = s.Execute(context.Background(), publisher.NewRollback("k4", "bob", 3, 99))
			So(err, ShouldBeNil)
			So(r.State(), ShouldEqual, publisher.NoVersion)
			h, err := s.History(context.Background(), 10)
			So(err, ShouldBeNil)
			So(h, ShouldHaveLength, 4)
			So(h[0].State(), ShouldEqual, publisher.NoVersion)
			So(h[1].Operator(), ShouldEqual, "bob")
			So(h[1].Base(), ShouldEqual, 2)
		})
	})
}

// TestDrain guards against a drained target that gets work again when operators
// apply a content, and against a drain that cannot be undone.
func TestDrain(t *testing.T) {
	Convey("drained targets survive other changes", t, func() {
		s := newService(newMemory(t, 1, 0))
		execute := func(event any) publisher.Result {
			r, err := s.Execute(context.Background(), event)
			So(err, ShouldBeNil)
			return r
		}
		So(execute(publisher.NewDrain("d0", "ann", "t1", false)).State(), ShouldEqual, publisher.NoVersion)
		So(apply(t, s, "k1", 0, content(10)).Version(), ShouldEqual, 1)
		So(execute(publisher.NewDrain("d1", "ann", "t1", false)).Version(), ShouldEqual, 2)
		So(apply(t, s, "k2", 2, content(20)).Version(), ShouldEqual, 3)
		So(execute(publisher.NewRollback("k3", "ann", 3, 1)).Version(), ShouldEqual, 4)
		So(apply(t, s, "k2", 2, content(20)).Repeated(), ShouldBeTrue)
		So(execute(publisher.NewDrain("d1", "ann", "t1", false)).Repeated(), ShouldBeTrue)
		c, err := s.Current(context.Background())
		So(err, ShouldBeNil)
		So(c.IsDrained("t1"), ShouldBeTrue)
		So(c.IsDrained("t2"), ShouldBeFalse)
		So(execute(publisher.NewDrain("d2", "ann", "t1", true)).Version(), ShouldEqual, 5)
		c, err = s.Current(context.Background())
		So(err, ShouldBeNil)
		So(c.Drained(), ShouldBeEmpty)
	})
}

// TestManyVersions guards against a store that grows with the number of changes.
func TestManyVersions(t *testing.T) {
	Convey("3,200 versions and 6,500 refusals in a row leave the store bounded", t, func() {
		m := newMemory(t, 1, 0)
		s := newService(m)
		for n := range uint64(3200) {
			if r := apply(t, s, fmt.Sprintf("k%d", n), n, content(int(n)+1)); r.Version() != n+1 {
				t.Fatalf("version %d after %d: %v", r.Version(), n, r.State())
			}
		}
		for n := range 6500 {
			if r := apply(t, s, fmt.Sprintf("r%d", n), 5, content(1)); r.State() != publisher.Stale {
				t.Fatalf("refusal %d: %v", n, r.State())
			}
		}
		versions, segments, bytes := 0, 0, 0
		for k, p := range m.keys {
			bytes += len(p.Value())
			if strings.HasPrefix(k, configuration.VersionPrefix) {
				versions++
			}
			if strings.HasPrefix(k, "config/audit/segment/") {
				segments++
			}
		}
		t.Logf("%d keys, %d bytes", len(m.keys), bytes)
		So(versions, ShouldEqual, publisher.RetainedVersions)
		So(segments, ShouldEqual, publisher.RetainedSegments)
		So(len(m.keys), ShouldEqual, publisher.RetainedVersions+publisher.RetainedSegments+2)
		So(bytes, ShouldBeLessThan, 3_000_000)
		h, err := s.History(context.Background(), 250)
		So(err, ShouldBeNil)
		So(h, ShouldHaveLength, 250)
	})
}

// TestRace guards against a wrong result when publishers run concurrently and the
// store loses answers, and against a head whose digest does not match its body.
func TestRace(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			m := newMemory(t, seed, 0.3+0.5*float64(seed%2))
			results := race(t, m, 4, 12)
			m.do(func() {
				for _, f := range m.delayed {
					f()
				}
			})
			versions := map[string]uint64{}
			for _, h := range m.heads {
				if _, duplicate := versions[h.ChangeKey()]; duplicate {
					t.Errorf("change key %s moved the head twice", h.ChangeKey())
				}
				versions[h.ChangeKey()] = h.Version()
			}
			for _, b := range m.violations {
				t.Error(b)
			}
			counts := map[string]int{}
			for key, r := range results {
				counts[r.State().String()]++
				if v, ok := versions[key]; r.State() != publisher.Indeterminate && (r.State() == publisher.Applied) != ok || ok && r.Version() != 0 && v != r.Version() {
					t.Errorf("%s: result %v with version %d, the head has version %d", key, r.State(), r.Version(), v)
				}
			}
			t.Log(counts)
		})
	}
}

// race runs writers concurrently. Each applies its changes to the base that it
// reads.
func race(t *testing.T, m *memory, writers, changes int) map[string]publisher.Result {
	type keyedResult struct {
		key    string
		result publisher.Result
	}
	ch := make(chan keyedResult, writers*changes)
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			s := newService(m)
			for n := range changes {
				h, err := s.Head(context.Background())
				if err != nil {
					continue
				}
				key := fmt.Sprintf("w%d-%d", w, n)
				r, err := s.Execute(context.Background(), publisher.NewApply(key, "ann", h.Version(), content(w*1000+n+1)))
				if err != nil {
					t.Error(err)
				}
				ch <- keyedResult{key: key, result: r}
			}
		})
	}
	wg.Wait()
	close(ch)
	results := map[string]publisher.Result{}
	for n := range ch {
		results[n.key] = n.result
	}
	return results
}
