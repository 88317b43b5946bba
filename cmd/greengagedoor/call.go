package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/pkg/caller"
)

const (
	dumpTimeout  = 10 * time.Second
	maxDumpBytes = 16 << 20
)

// callFlags returns the flags of all commands that call an entry, followed by more.
func callFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "entry",
			Value:   cli.NewStringSlice("http://127.0.0.1:8080"),
			EnvVars: []string{"GREENGAGEDOOR_ENTRIES"},
			Usage:   "`URL` of an entry; repeat the flag for further entries",
		},
		&cli.IntFlag{
			Name:  "seconds",
			Value: 30,
			Usage: "`SECONDS` to wait for the final answer",
		},
		tokenFlag(),
	}, more...)
}

// tokenFlag returns a flag for a file with the token, since all users of the host can
// read the flags of a process.
func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "token-file",
		EnvVars: []string{"GREENGAGEDOOR_TOKEN_FILE"},
		Usage:   "`FILE` with the bearer token; not needed if access control is off",
	}
}

func readToken(c *cli.Context) (string, error) {
	path := c.String("token-file")
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read token")
}

func teamFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "team",
		Usage: "`TEAM` that submits (required)",
	}
}

func keyFlag(text string) cli.Flag {
	return &cli.StringFlag{
		Name:  "key",
		Usage: "idempotency `KEY`, a UUIDv7 (" + text + ")",
	}
}

// requireFlags returns an error for the first flag that is not given. It runs before
// a job gets a key, so that no unused key is printed.
func requireFlags(c *cli.Context, names ...string) error {
	for _, n := range names {
		if c.String(n) == "" {
			return usage(errors.Errorf("flag --%s is missing", n))
		}
	}
	return nil
}

// call runs f with a client of the entries in the flags and prints the answer as one
// line of JSON.
func call(c *cli.Context, f func(context.Context, *caller.Client) (caller.Answer, error)) error {
	if c.Int("seconds") < 1 {
		return usage(errors.Errorf("--seconds is %d, want at least 1", c.Int("seconds")))
	}
	client, cleanup, err := caller.New(c.StringSlice("entry")...)
	if err != nil {
		return usage(err)
	}
	defer cleanup()
	token, err := readToken(c)
	if err != nil {
		return err
	}
	client = client.WithToken(token)
	ctx, cancel := context.WithTimeout(c.Context, time.Duration(c.Int("seconds"))*time.Second)
	defer cancel()
	a, err := f(ctx, client)
	if err != nil && a.State() == "" {
		return answerError(a, err)
	}
	line, jerr := json.Marshal(newAnswerDocument(a))
	if jerr != nil {
		return errors.Wrap(jerr, "encode answer")
	}
	if _, werr := fmt.Fprintln(c.App.Writer, string(line)); werr != nil {
		return werr
	}
	return answerError(a, err)
}

type answerDocument struct {
	State   string            `json:"state"`
	Reason  string            `json:"reason,omitempty"`
	Detail  string            `json:"detail,omitempty"`
	Ran     string            `json:"ran,omitempty"`
	NotRun  *bool             `json:"not_run,omitempty"`
	Results []json.RawMessage `json:"results,omitempty"`
}

func newAnswerDocument(a caller.Answer) answerDocument {
	d := answerDocument{
		State:  a.State(),
		Reason: a.Reason(),
		Detail: a.Detail(),
		Ran:    a.Ran(),
	}
	if a.State() == caller.Refused {
		notRun := a.NotRun()
		d.NotRun = &notRun
	}
	for _, r := range a.Results() {
		d.Results = append(d.Results, r)
	}
	return d
}

func answerError(a caller.Answer, err error) error {
	code := 0
	switch {
	case errors.Is(err, caller.ErrUndecided):
		code = exitUndecided
	case err != nil:
		return err
	case a.State() == caller.Failed:
		code = exitJobFailed
		err = errors.Errorf("job failed: %s", a.Reason())
	case a.State() == caller.Refused:
		code = exitRefused
		err = errors.Errorf("request refused: %s", a.Reason())
	default:
		return nil
	}
	return &exitError{
		code: code,
		err:  err,
	}
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submit a job and wait for its answer",
		ArgsUsage:   "TASK [TASK ...]",
		Description: "Each argument is the JSON of one task. Without --key, a new key is created. The key is\nprinted on standard error; submit again with this key to get the same job.\n" + answerCodes,
		Flags: callFlags(teamFlag(), keyFlag("created if missing"), &cli.StringFlag{
			Name:  "kind",
			Usage: "request `KIND` of the team (required)",
		}, &cli.Int64Flag{
			Name:  "deadline-ms",
			Usage: "`TIME` in Unix milliseconds after which the answer is of no use",
		}),
		Action: func(c *cli.Context) error {
			if err := requireFlags(c, "team", "kind"); err != nil {
				return err
			}
			j, err := jobFromFlags(c)
			if err != nil {
				return usage(err)
			}
			fmt.Fprintln(c.App.ErrWriter, "key:", j.Key())
			return call(c, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
				return client.Submit(ctx, j)
			})
		},
	}
}

func jobFromFlags(c *cli.Context) (caller.Job, error) {
	var tasks []json.RawMessage
	for _, a := range c.Args().Slice() {
		tasks = append(tasks, json.RawMessage(a))
	}
	j, err := caller.NewJob(c.String("team"), c.String("kind"), tasks...)
	if err != nil {
		return caller.Job{}, err
	}
	if ms := c.Int64("deadline-ms"); ms > 0 {
		j = j.WithDeadline(time.UnixMilli(ms))
	}
	if c.String("key") == "" {
		return j, nil
	}
	key, err := uuid.Parse(c.String("key"))
	return j.WithKey(key), errors.Wrap(err, "--key")
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "print the answer of a submission",
		Description: answerCodes,
		Flags: callFlags(teamFlag(), keyFlag("required"), &cli.BoolFlag{
			Name:  "wait",
			Usage: "wait for the final answer",
		}),
		Action: func(c *cli.Context) error {
			if err := requireFlags(c, "team", "key"); err != nil {
				return err
			}
			return call(c, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
				if c.Bool("wait") {
					return client.Wait(ctx, c.String("team"), c.String("key"))
				}
				return client.Status(ctx, c.String("team"), c.String("key"))
			})
		},
	}
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancel a submission",
		Description: "Tasks that have not started do not start. A job that has ended keeps its answer.\n" + answerCodes,
		Flags:       callFlags(teamFlag(), keyFlag("required")),
		Action: func(c *cli.Context) error {
			if err := requireFlags(c, "team", "key"); err != nil {
				return err
			}
			return call(c, func(ctx context.Context, client *caller.Client) (caller.Answer, error) {
				return client.Cancel(ctx, c.String("team"), c.String("key"))
			})
		},
	}
}

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:        "dump",
		Usage:       "print the internal state of a process",
		Description: "Reads the dump of any process from its HTTP interface. Dumps contain no payloads and no\nsecrets.\n" + exitCodes,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "process",
				Value: "http://127.0.0.1:8080",
				Usage: "`URL` of the process's HTTP interface",
			},
			tokenFlag(),
		},
		Action: func(c *cli.Context) error {
			ctx, cancel := context.WithTimeout(c.Context, dumpTimeout)
			defer cancel()
			return printPage(ctx, c, strings.TrimSuffix(c.String("process"), "/")+"/debug/dump")
		},
	}
}

// printPage prints the page at a URL of a process. It sends the token in the flags.
func printPage(ctx context.Context, c *cli.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return usage(err)
	}
	token, err := readToken(c)
	if err != nil {
		return err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "request page")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("process responded with status %s, want 200 OK", resp.Status)
	}
	_, err = io.Copy(c.App.Writer, io.LimitReader(resp.Body, maxDumpBytes))
	return errors.Wrap(err, "read page")
}
