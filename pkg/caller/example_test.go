package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"greengagedoor.example/greengagedoor/pkg/caller"
)

// newEntry returns a stand-in of an entry that answers each request with the next
// response, and with the last one when no more are left.
func newEntry(responses ...string) *httptest.Server {
	n := 0
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r := responses[min(n, len(responses)-1)]
		n++
		var d struct {
			Status int `json:"status"`
		}
		_ = json.Unmarshal([]byte(r), &d)
		if d.Status != 0 {
			w.WriteHeader(d.Status)
		}
		_, _ = fmt.Fprint(w, r)
	}))
}

func ExampleClient_Submit() {
	entry := newEntry(
		`{"status":503,"state":"refused","reason":"overloaded","not_run":true,"retry_after_ms":5}`,
		`{"state":"complete","results":["sold"]}`,
	)
	defer entry.Close()
	c, cleanup, err := caller.New(entry.URL)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer cleanup()
	j, err := caller.NewJob("tegnestuen", "log_sale", json.RawMessage(`{"echo":"sold"}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := c.Submit(ctx, j.WithDeadline(time.Now().Add(10*time.Second)))
	if err != nil {
		// The job may still run: submit j again later, with the same key.
		fmt.Println(err)
		return
	}
	fmt.Printf("%s %s\n", a.State(), a.Results()[0])
	// Output: complete "sold"
}

func ExampleClient_Cancel() {
	entry := newEntry(`{"state":"failed","reason":"cancelled","detail":"cancelled by the caller","ran":"nothing"}`)
	defer entry.Close()
	c, cleanup, err := caller.New(entry.URL)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer cleanup()
	a, err := c.Cancel(context.Background(), "tegnestuen", "01a3185c-5000-7000-8000-000000000001")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(a.State(), a.Reason(), a.Ran())
	// Output: failed cancelled nothing
}

func ExampleNewJob() {
	j, err := caller.NewJob("lakeshore", "funeral_pull", json.RawMessage(`{"reel":17}`), json.RawMessage(`{"reel":18}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(j.Team(), j.Tasks(), j.Key().Version())
	// Output: lakeshore 2 VERSION_7
}
