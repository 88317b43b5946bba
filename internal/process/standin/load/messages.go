package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Minimum number of messages: submit, acceptance and answer for a job; start and end
// for a task.
const (
	messagesPerJob  = 3
	messagesPerTask = 2
)

// SentMessages returns the total number of messages that the processes have sent.
// processes contains their HTTP base URLs.
func SentMessages(ctx context.Context, processes []string) (float64, error) {
	var sum float64
	for _, p := range processes {
		n, err := fetchSentMessages(ctx, p)
		if err != nil {
			return 0, errors.Wrapf(err, "metrics of %s", p)
		}
		sum += n
	}
	return sum, nil
}

func fetchSentMessages(ctx context.Context, process string) (float64, error) {
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

// ExcessMessages returns the number of messages per task beyond the minimum that the
// answered jobs need.
func ExcessMessages(sent float64, samples []Sample) float64 {
	var minimum, tasks float64
	for _, s := range samples {
		if s.answer.outcome == Refused {
			// A refusal needs a submit and a reply. Its tasks never start.
			minimum += 2
			continue
		}
		minimum += messagesPerJob + messagesPerTask*float64(len(s.job.tasks))
		tasks += float64(len(s.job.tasks))
	}
	if tasks == 0 {
		return 0
	}
	return (sent - minimum) / tasks
}
