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

// NewTarget returns a target.
func NewTarget(url string, slots int) Target {
	return Target{
		url:   url,
		slots: slots,
	}
}

// piece is one task of a job on its way through the baseline.
type piece struct {
	ctx     context.Context
	payload payload
	ended   *ring.Ring[Answer]
}

// Baseline returns a dispatcher that sends each task to a random target, where it
// waits in a first-come queue for one of the slots, and its clean-up function.
func Baseline(targets []Target, seed uint64, queue int) (Dispatcher, func(), error) {
	if len(targets) == 0 {
		return nil, nil, errors.New("baseline needs targets")
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	client := &http.Client{
		Transport: transport,
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var queues []*ring.Ring[piece]
	for _, t := range targets {
		q, err := ring.New[piece]("baseline", queue)
		if err != nil {
			stop()
			return nil, nil, err
		}
		queues = append(queues, q)
		for range t.slots {
			running.Add(1)
			go func() {
				defer running.Done()
				slot(ctx, client, t.url, q)
			}()
		}
	}
	dispatch := func(ctx context.Context, number int, j Job) Answer {
		return scatter(ctx, queues, rand.New(rand.NewPCG(seed, uint64(number))), number, j)
	}
	return dispatch, func() {
		stop()
		running.Wait()
		transport.CloseIdleConnections()
	}, nil
}

// slot runs the tasks of one target's queue, one at a time.
func slot(ctx context.Context, client *http.Client, url string, q *ring.Ring[piece]) {
	for {
		p, err := q.Pop(ctx)
		if err != nil {
			return
		}
		_ = p.ended.TryPush(call(p, client, url))
	}
}

func call(p piece, client *http.Client, url string) Answer {
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

// scatter queues the tasks of a job and waits for all of them.
func scatter(ctx context.Context, queues []*ring.Ring[piece], rnd *rand.Rand, number int, j Job) Answer {
	sent := payloads(number, j)
	ended, err := ring.New[Answer]("job", len(sent))
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	for _, p := range sent {
		err := queues[rnd.IntN(len(queues))].Push(ctx, piece{
			ctx:     ctx,
			payload: p,
			ended:   ended,
		})
		if err != nil {
			return NewAnswer(Failed, 0)
		}
	}
	worst := NewAnswer(Complete, 0)
	for range sent {
		a, err := ended.Pop(ctx)
		if err != nil {
			return NewAnswer(Failed, 0)
		}
		worst.service = max(worst.service, a.service)
		worst.outcome = max(worst.outcome, a.outcome)
	}
	return worst
}
