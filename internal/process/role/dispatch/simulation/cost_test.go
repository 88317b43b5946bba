package simulation_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestConfigurationCost guards against a configuration whose bytes at an entry grow with the number of its connections.
func TestConfigurationCost(t *testing.T) {
	const (
		// maxCopies is how many packed forms an entry may send for one version: to the agents
		// that keep a copy, and to one entry.
		maxCopies = 3
		// requestBytes covers the headers of pieces and the requests for them.
		requestBytes = 16 << 10
	)
	tests := map[string]struct {
		entries int
		agents  int
		bytes   int
	}{
		"12_agents":         {entries: 3, agents: 12, bytes: largeBody},
		"48_agents":         {entries: 6, agents: 48, bytes: largeBody},
		"96_agents":         {entries: 12, agents: 96, bytes: largeBody},
		"96_agents_small":   {entries: 12, agents: 96, bytes: smallBody},
		"96_agents_largest": {entries: 12, agents: 96, bytes: largestBody},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := emptyConfigurationCluster(t, 1, tt.entries, tt.agents, 1500*time.Millisecond)
			c.store.write(smallBody)
			c.run(c.now + configurationStart)
			c.network.configurationBytes = map[string]int{}
			c.store.write(tt.bytes)
			c.run(c.now + 2*configApply)
			packed := tt.bytes / packedShare
			highest, all := 0, 0
			for host, n := range c.network.configurationBytes {
				all += n
				if strings.HasPrefix(host, "entry") {
					highest = max(highest, n)
				}
			}
			t.Logf("stored %d KB, packed %d KB: %d KB sent by the entry that sends most, %d KB between all processes, store %d KB an entry",
				tt.bytes>>10, packed>>10, highest>>10, all>>10, tt.bytes*base64Thirds/3>>10)
			Convey("an entry sends the packed form to a few processes only", t, func() {
				So(highest, ShouldBeLessThanOrEqualTo, maxCopies*(packed+requestBytes))
			})
		})
	}
}
