package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// The least messages that a job and a task need: submit, acceptance and answer;
// start and end.
const (
	messagesPerJob  = 3
	messagesPerTask = 2
)

// SentMessages sums the messages that the processes at the addresses have sent.
func SentMessages(ctx context.Context, processes []string) (float64, error) {
	var sum float64
	for _, p := range processes {
		n, err := messagesOf(ctx, p)
		if err != nil {
			return 0, errors.Wrapf(err, "metrics of %s", p)
		}
		sum += n
	}
	return sum, nil
}

func messagesOf(ctx context.Context, process string) (float64, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, process+"/debug/vars", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Sent float64 `json:"messages_sent"`
	}
	err = json.NewDecoder(resp.Body).Decode(&vars)
	return vars.Sent, err
}

// ExcessMessages is the number of messages for each task beyond the least that the
// answered jobs need.
func ExcessMessages(sent float64, samples []Sample) float64 {
	var least, tasks float64
	for _, s := range samples {
		if s.answer.outcome == Refused {
			// A refusal needs a submit and a reply; no task is counted for it.
			least += 2
			continue
		}
		least += messagesPerJob + messagesPerTask*float64(len(s.job.tasks))
		tasks += float64(len(s.job.tasks))
	}
	if tasks == 0 {
		return 0
	}
	return (sent - least) / tasks
}
