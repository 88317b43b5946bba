package log

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"greengagedoor.example/greengagedoor/internal/process/event"
	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// The limits of a journal.
const (
	// journalCapacity is the number of notes that may wait for a slow output.
	journalCapacity = 4096
	// linesPerSecond limits the volume; an entry writes about four lines per task.
	linesPerSecond = 1500
	// maxWrite bounds the bytes of several lines that are written together. A pipe takes
	// no more at once, and its reader may get the rest of a longer write separately.
	maxWrite = 4096
	// burstLines is the number of lines that may exceed the rate after an idle
	// period.
	burstLines = 3000
	// dropReportInterval is the minimum time between two lines about dropped lines.
	dropReportInterval = time.Second
	// maxTextBytes bounds the text of one field of a line.
	maxTextBytes = 1000
)

// Journal writes the notes of a process as structured lines. It never blocks the
// caller: a note that finds the ring full or exceeds the rate limit, a token
// bucket, is dropped and counted.
type Journal struct {
	out io.Writer
	// entry encodes each note into lines, which have not been written yet.
	entry      *logrus.Entry
	lines      []byte
	ring       *ring.Ring[timedNote]
	now        func() time.Time
	tokens     float64
	lastRefill time.Time
	dropped    int64
	lastReport time.Time
	reported   int64
	states     *states
}

type timedNote struct {
	at   time.Time
	note event.Note
}

// NewJournal returns a journal that writes JSON lines of the named process to w.
func NewJournal(w io.Writer, process string, now func() time.Time) (*Journal, error) {
	r, err := ring.New[timedNote]("journal", journalCapacity)
	if err != nil {
		return nil, err
	}
	j := &Journal{
		out:        w,
		ring:       r,
		now:        now,
		tokens:     burstLines,
		lastRefill: now(),
		states:     newStates(),
	}
	l := logrus.New()
	l.SetOutput(lineWriter(j.append))
	l.SetFormatter(&noteFormatter{
		process: process,
	})
	j.entry = logrus.NewEntry(l)
	return j, nil
}

// lineWriter is a function as an io.Writer.
type lineWriter func([]byte) (int, error)

func (w lineWriter) Write(b []byte) (int, error) {
	return w(b)
}

// append adds an encoded line.
func (j *Journal) append(line []byte) (int, error) {
	j.lines = append(j.lines, line...)
	return len(line), nil
}

// Note queues a note without blocking.
func (j *Journal) Note(n event.Note) {
	// The ring counts a rejected note, and the journal reports the count.
	_ = j.ring.TryPush(timedNote{
		at:   j.now(),
		note: n,
	})
}

// Ring returns the gauge of the journal's ring.
func (j *Journal) Ring() (depth, size int, rejected int64) {
	return j.ring.Depth(), j.ring.Size(), j.ring.Rejected()
}

// Run writes notes until ctx ends, and then the notes that are still queued. Notes
// that wait are written together.
func (j *Journal) Run(ctx context.Context) error {
	for {
		n, err := j.ring.Pop(ctx)
		if err != nil {
			break
		}
		j.write(n)
		j.writeQueued()
	}
	j.writeQueued()
	return nil
}

// writeQueued writes the notes that are queued now.
func (j *Journal) writeQueued() {
	for {
		select {
		case n := <-j.ring.Out():
			j.write(n)
			continue
		default:
		}
		break
	}
	j.flush(len(j.lines))
}

// flush writes the first n bytes of the encoded lines.
func (j *Journal) flush(n int) {
	if n == 0 {
		return
	}
	// A closed output must not end the process.
	_, _ = j.out.Write(j.lines[:n])
	j.lines = append(j.lines[:0], j.lines[n:]...)
}

// addLine encodes a note. It writes the lines before it if all together are longer
// than maxWrite.
func (j *Journal) addLine(at time.Time, n event.Note) {
	before := len(j.lines)
	j.entry.Time = at
	j.entry.Data[noteKey] = n
	j.entry.Info()
	if len(j.lines) > maxWrite {
		j.flush(before)
	}
}

func (j *Journal) write(s timedNote) {
	if s.note.Subject() != "" && !j.states.changed(s.at, s.note) {
		return
	}
	j.tokens = min(burstLines, j.tokens+s.at.Sub(j.lastRefill).Seconds()*linesPerSecond)
	j.lastRefill = s.at
	if j.tokens < 1 {
		j.dropped++
		return
	}
	j.tokens--
	j.reportDropped(s.at)
	j.addLine(s.at, s.note)
}

func (j *Journal) reportDropped(at time.Time) {
	total := j.dropped + j.ring.Rejected()
	if total == j.reported || at.Sub(j.lastReport) < dropReportInterval {
		return
	}
	j.addLine(at, event.New(event.LinesDropped, event.F("count", total-j.reported)))
	j.reported = total
	j.lastReport = at
}
