package dispatch_test

import (
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"greengagedoor.example/greengagedoor/internal/request/task"
)

// TestTaskMemory guards against tasks that take more memory than an entry's budget has for
// them, which is 1 KB for each.
func TestTaskMemory(t *testing.T) {
	const maxTaskBytes = 1 << 10
	tests := map[string]int64{
		"waiting": 31_000,
		"started": 0,
	}
	for name, cores := range tests {
		t.Run(name, func(t *testing.T) {
			Convey("a job of the most tasks stays within the budget", t, func() {
				fx := newFixture(t)
				fx.version(1, 2)
				fx.agent(1, "a")
				before := heapBytes()
				fx.submit(1, "job", fx.step(task.MaxTasks, cores))
				fx.starts, fx.allStarts = nil, nil
				So(fx.answers, ShouldBeEmpty)
				took := heapBytes() - before
				t.Logf("%d bytes a task", took/task.MaxTasks)
				So(took, ShouldBeLessThanOrEqualTo, int64(maxTaskBytes*task.MaxTasks))
				runtime.KeepAlive(fx)
			})
		})
	}
}

// heapBytes returns the memory that is reachable.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
