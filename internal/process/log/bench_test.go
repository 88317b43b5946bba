package log_test

import (
	"context"
	"os"
	"testing"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/log"
)

// BenchmarkJournal measures the processor time of one line.
func BenchmarkJournal(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	at := time.Now()
	j, err := log.NewJournal(out, "entry", func() time.Time {
		at = at.Add(time.Millisecond)
		return at
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.ReportAllocs()
	for b.Loop() {
		j.Note(event.New(event.TaskPlaced, event.F("job", "c5f4b9e84c23f2e7"), event.F("trace", "bee4f05b69a5a637"), event.F("run", "c5f4b9e84c23f2e7.0.0.8#1"),
			event.F("agent", "side-harbor-a-2"), event.F("expected_ms", int64(44)), event.F("heard_ms", int64(39)), event.F("waited_ms", int64(0))))
		if err := j.Run(ctx); err != nil {
			b.Fatal(err)
		}
	}
}
