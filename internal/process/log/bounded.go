package log

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// The bounds of a journal.
const (
	// journalSize is the number of notes that may wait for a slow output.
	journalSize = 4096
	// linesPerSecond bounds the volume; an entry has about four lines for a task.
	linesPerSecond = 1500
	// burstLines may be written at once after a quiet time.
	burstLines = 3000
	// dropReport is the least time between two lines about dropped lines.
	dropReport = time.Second
)

// Journal writes the notes of a process as structured lines. It never holds up
// who logs: a note that finds the ring full, or that exceeds the volume, is
// dropped and counted.
type Journal struct {
	log     *logrus.Entry
	ring    *ring.Ring[stamped]
	now     func() time.Time
	allowed float64
	refill  time.Time
	dropped int64
	told    time.Time
	counted int64
}

type stamped struct {
	at   time.Time
	note event.Note
}

// NewJournal returns the journal of a process that writes JSON lines to w.
func NewJournal(w io.Writer, process string, now func() time.Time) (*Journal, error) {
	l, err := New(w, "json", "info", process)
	if err != nil {
		return nil, err
	}
	l.Logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyMsg: "event",
		},
	})
	r, err := ring.New[stamped]("journal", journalSize)
	if err != nil {
		return nil, err
	}
	return &Journal{
		log:     l,
		ring:    r,
		now:     now,
		allowed: burstLines,
		refill:  now(),
	}, nil
}

// Note queues a note without waiting.
func (j *Journal) Note(n event.Note) {
	// A full ring counts the note, and the journal reports the count.
	_ = j.ring.TryPush(stamped{
		at:   j.now(),
		note: n,
	})
}

// Ring is the journal's ring, for the process's table.
func (j *Journal) Ring() (depth, size int, rejected int64) {
	return j.ring.Depth(), j.ring.Size(), j.ring.Rejected()
}

// Run writes notes until ctx ends, and then those that wait.
func (j *Journal) Run(ctx context.Context) error {
	for {
		s, err := j.ring.Pop(ctx)
		if err != nil {
			break
		}
		j.write(s)
	}
	for {
		select {
		case s := <-j.ring.Out():
			j.write(s)
		default:
			return nil
		}
	}
}

func (j *Journal) write(s stamped) {
	j.allowed = min(burstLines, j.allowed+s.at.Sub(j.refill).Seconds()*linesPerSecond)
	j.refill = s.at
	if j.allowed < 1 {
		j.dropped++
		return
	}
	j.allowed--
	j.reportDropped(s.at)
	j.line(s.at, s.note)
}

func (j *Journal) reportDropped(at time.Time) {
	total := j.dropped + j.ring.Rejected()
	if total == j.counted || at.Sub(j.told) < dropReport {
		return
	}
	j.line(at, event.New(event.LinesDropped, event.F("count", total-j.counted)))
	j.counted = total
	j.told = at
}

func (j *Journal) line(at time.Time, n event.Note) {
	fields := make(logrus.Fields, len(n.Fields()))
	for _, f := range n.Fields() {
		fields[f.Key()] = f.Value()
	}
	j.log.WithTime(at).WithFields(fields).Info(string(n.Name()))
}
