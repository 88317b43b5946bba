package directory_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a sequence of faults after which two processes can start tasks of a
// shard, two directories are active in a cell, a lost member keeps its lease, a version
// decreases, or shards stay without an owner although all faults have ended.
func TestFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulationFor(failer{fatal: t.Fatalf}, rapid.Uint64().Draw(t, "seed"), 64)
		cells := rapid.IntRange(1, 4).Draw(t, "cells")
		s.addFleet(cells, rapid.IntRange(1, 4).Draw(t, "agents"))
		if rapid.Bool().Draw(t, "settled") {
			s.run(8 * time.Second)
		}
		pick := func(name string) *node { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, name)] }
		pass := func() {
			s.run(time.Duration(rapid.IntRange(1, 2500).Draw(t, "pass_ms")) * time.Millisecond)
		}
		cuts := map[[2]*node]bool{}
		s.partitioned = func(a, b *node) bool { return cuts[[2]*node{a, b}] }
		t.Repeat(map[string]func(*rapid.T){
			"restart": func(t *rapid.T) {
				n := pick("node")
				n.dead = true
				pass()
				s.add(n.id.Name(), n.zone, "", uint64(len(s.nodes)+1))
			},
			"pause": func(*rapid.T) {
				pick("node").paused = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause_ms")) * time.Millisecond)
			},
			"cut_store": func(*rapid.T) { pick("node").noStore = rapid.Bool().Draw(t, "cut") },
			"cut_link": func(*rapid.T) {
				cuts[[2]*node{pick("from"), pick("to")}] = rapid.Bool().Draw(t, "cut")
			},
			"down":  func(*rapid.T) { s.store.down = rapid.Bool().Draw(t, "down") },
			"lose":  func(*rapid.T) { s.store.lostAnswerRate = rapid.Float64Range(0, 0.5).Draw(t, "lose") },
			"late":  func(*rapid.T) { s.store.lateWriteRate = rapid.Float64Range(0, 0.3).Draw(t, "late") },
			"stale": func(*rapid.T) { s.store.staleReadRate = rapid.Float64Range(0, 0.5).Draw(t, "stale") },
			"slow": func(*rapid.T) {
				s.store.extraDelay = time.Duration(rapid.IntRange(0, 1200).Draw(t, "slow_ms")) * time.Millisecond
			},
			"leave":   func(*rapid.T) { s.leave(pick("node")) },
			"version": func(*rapid.T) { s.store.latestVersion++ },
			"":        func(*rapid.T) { pass() },
		})
		s.heal(cuts)
		s.until(40*time.Second, "service after all faults", s.allServed)
	})
}

// heal ends all faults and restarts every process that has ended.
func (s *simulation) heal(cuts map[[2]*node]bool) {
	clear(cuts)
	s.store.down, s.store.lostAnswerRate, s.store.lateWriteRate, s.store.staleReadRate, s.store.extraDelay = false, 0, 0, 0, 0
	for _, n := range s.nodes {
		n.noStore = false
	}
	s.run(5 * time.Second)
	running := map[string]bool{}
	for _, n := range s.nodes {
		running[n.id.Name()] = running[n.id.Name()] || !(n.dead || n.left)
	}
	for _, n := range s.nodes {
		if !running[n.id.Name()] {
			running[n.id.Name()] = true
			s.add(n.id.Name(), n.zone, "", uint64(len(s.nodes)+1))
		}
	}
}
