package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/ring"
)

// Target is a target that the baseline may use.
type Target struct {
	url   string
	slots int
}

// NewTarget returns a target. url is the address that tasks are posted to; slots is
// the number of tasks that it runs at a time.
func NewTarget(url string, slots int) Target {
	return Target{
		url:   url,
		slots: slots,
	}
}

// queuedTask is a task in the queue of a target. Its answer goes to answers.
type queuedTask struct {
	ctx     context.Context
	payload payload
	answers *ring.Ring[Answer]
}

// Baseline returns a dispatcher that sends each task to a random target, and its
// cleanup function. At the target the task waits in a FIFO queue for a free slot.
// queue is the length of each of these queues.
func Baseline(targets []Target, seed uint64, queue int) (Dispatcher, func(), error) {
	if len(targets) == 0 {
		return nil, nil, errors.New("baseline has no targets, want at least one")
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	client := &http.Client{
		Transport: transport,
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var queues []*ring.Ring[queuedTask]
	for _, t := range targets {
		q, err := ring.New[queuedTask]("baseline", queue)
		if err != nil {
			stop()
			return nil, nil, err
		}
		queues = append(queues, q)
		for range t.slots {
			running.Add(1)
			go func() {
				defer running.Done()
				runSlot(ctx, client, t.url, q)
			}()
		}
	}
	dispatch := func(ctx context.Context, number int, j Job) Answer {
		return fanOut(ctx, queues, rand.New(rand.NewPCG(seed, uint64(number))), number, j)
	}
	return dispatch, func() {
		stop()
		running.Wait()
		transport.CloseIdleConnections()
	}, nil
}

// runSlot runs tasks of the queue of a target, one at a time.
func runSlot(ctx context.Context, client *http.Client, url string, q *ring.Ring[queuedTask]) {
	for {
		p, err := q.Pop(ctx)
		if err != nil {
			return
		}
		_ = p.answers.TryPush(callTarget(p, client, url))
	}
}

func callTarget(p queuedTask, client *http.Client, url string) Answer {
	body, err := json.Marshal(p.payload)
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	r, err := http.NewRequestWithContext(p.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	r.Header.Set("Idempotency-Key", "baseline/"+p.payload.Echo)
	resp, err := client.Do(r)
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return NewAnswer(Failed, 0)
	}
	var rep report
	if err := json.Unmarshal(data, &rep); err != nil || rep.Echo != p.payload.Echo {
		return NewAnswer(Wrong, 0)
	}
	return NewAnswer(Complete, time.Duration(rep.RunMS*float64(time.Millisecond)))
}

// fanOut queues the tasks of a job and waits for all of them. Its answer has the worst
// outcome and the longest service time.
func fanOut(ctx context.Context, queues []*ring.Ring[queuedTask], rnd *rand.Rand, number int, j Job) Answer {
	sent := payloads(number, j)
	answers, err := ring.New[Answer]("job", len(sent))
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	for _, p := range sent {
		err := queues[rnd.IntN(len(queues))].Push(ctx, queuedTask{
			ctx:     ctx,
			payload: p,
			answers: answers,
		})
		if err != nil {
			return NewAnswer(Failed, 0)
		}
	}
	worst := NewAnswer(Complete, 0)
	for range sent {
		a, err := answers.Pop(ctx)
		if err != nil {
			return NewAnswer(Failed, 0)
		}
		worst.service = max(worst.service, a.service)
		worst.outcome = max(worst.outcome, a.outcome)
	}
	return worst
}
