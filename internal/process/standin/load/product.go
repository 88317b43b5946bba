package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// maxAnswerBytes limits the size of an HTTP response.
const maxAnswerBytes = 8 << 20

// answerTimeout is the time after which a job without an answer is treated as failed.
const answerTimeout = 90 * time.Second

type payload struct {
	RunMS  float64 `json:"run_ms"`
	Echo   string  `json:"echo"`
	Report bool    `json:"report"`
}

// report is the result of a target for a payload with report set.
type report struct {
	Echo  string  `json:"echo"`
	RunMS float64 `json:"run_ms"`
}

// payloads returns a payload for each task of a job. Its echo identifies the job and
// the task.
func payloads(number int, j Job) []payload {
	out := make([]payload, 0, len(j.tasks))
	for i, t := range j.tasks {
		out = append(out, payload{
			RunMS:  float64(t) / float64(time.Millisecond),
			Echo:   strconv.Itoa(number) + "/" + strconv.Itoa(i),
			Report: true,
		})
	}
	return out
}

// Product returns a dispatcher that submits jobs to the entries in turn, and its
// cleanup function. entries contains HTTP base URLs; tokens contains the access token
// of each team and needs none for a team without access control.
func Product(entries []string, tokens map[string]string) (Dispatcher, func()) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxInFlight,
	}
	client := &http.Client{
		Transport: transport,
		Timeout:   answerTimeout,
	}
	return func(ctx context.Context, number int, j Job) Answer {
		return submit(ctx, client, entries[number%len(entries)], tokens[j.kind.team], number, j)
	}, transport.CloseIdleConnections
}

func submit(ctx context.Context, client *http.Client, entry, token string, number int, j Job) Answer {
	key, err := uuid.NewV7()
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	sent := payloads(number, j)
	body, err := json.Marshal(map[string]any{
		"key":   key.String(),
		"kind":  j.kind.name,
		"tasks": sent,
	})
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	url := fmt.Sprintf("%s/v1/teams/%s/jobs?wait_ms=%d", entry, j.kind.team, answerTimeout.Milliseconds())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := client.Do(r)
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return NewAnswer(Failed, 0)
	}
	return evaluateResponse(data, resp, sent)
}

// evaluateResponse classifies a response. A complete one must have exactly the
// results of the tasks that were sent, in order.
func evaluateResponse(data []byte, resp *http.Response, sent []payload) Answer {
	var d struct {
		State   string   `json:"state"`
		NotRun  bool     `json:"not_run"`
		Results []report `json:"results"`
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return NewAnswer(Refused, 0)
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return NewAnswer(Wrong, 0)
	}
	switch d.State {
	case "complete":
	case "refused":
		return NewAnswer(Refused, 0)
	default:
		return NewAnswer(Failed, 0)
	}
	if len(d.Results) != len(sent) {
		return NewAnswer(Wrong, 0)
	}
	var service time.Duration
	for i, r := range d.Results {
		if r.Echo != sent[i].Echo {
			return NewAnswer(Wrong, 0)
		}
		service = max(service, time.Duration(r.RunMS*float64(time.Millisecond)))
	}
	return NewAnswer(Complete, service)
}
