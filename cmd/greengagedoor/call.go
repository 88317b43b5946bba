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

// callFlags are the flags of all commands that call an entry.
func callFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "entry",
			Value:   cli.NewStringSlice("http://127.0.0.1:8080"),
			EnvVars: []string{"GREENGAGEDOOR_ENTRIES"},
			Usage:   "`URL` of an entry; give it again for further entries",
		},
		&cli.IntFlag{
			Name:  "seconds",
			Value: 30,
			Usage: "`SECONDS` to wait for the final answer",
		},
		tokenFlag(),
	}, more...)
}

// tokenFlag names a file, since flags can be read by everybody on the host.
func tokenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "token-file",
		EnvVars: []string{"GREENGAGEDOOR_TOKEN_FILE"},
		Usage:   "`FILE` with the bearer token; not needed where access is off",
	}
}

func readToken(c *cli.Context) (string, error) {
	path := c.String("token-file")
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	return strings.TrimSpace(string(data)), errors.Wrap(err, "read the token")
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

// needed reports flags that are not given, before a job gets a key that nobody
// will use.
func needed(c *cli.Context, names ...string) error {
	for _, n := range names {
		if c.String(n) == "" {
			return usage(errors.Errorf("--%s is missing", n))
		}
	}
	return nil
}

// call runs f with a client and writes the answer as one line of JSON.
func call(c *cli.Context, f func(context.Context, *caller.Client) (caller.Answer, error)) error {
	if c.Int("seconds") < 1 {
		return usage(errors.Errorf("--seconds is %d, at least 1 is allowed", c.Int("seconds")))
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
		return codeOf(a, err)
	}
	line, jerr := json.Marshal(answerOf(a))
	if jerr != nil {
		return errors.Wrap(jerr, "encode answer")
	}
	if _, werr := fmt.Fprintln(c.App.Writer, string(line)); werr != nil {
		return werr
	}
	return codeOf(a, err)
}

type answerDocument struct {
	State   string            `json:"state"`
	Reason  string            `json:"reason,omitempty"`
	Detail  string            `json:"detail,omitempty"`
	Ran     string            `json:"ran,omitempty"`
	NotRun  *bool             `json:"not_run,omitempty"`
	Results []json.RawMessage `json:"results,omitempty"`
}

func answerOf(a caller.Answer) answerDocument {
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

func codeOf(a caller.Answer, err error) error {
	code := 0
	switch {
	case errors.Is(err, caller.ErrUndecided):
		code = exitUndecided
	case err != nil:
		return err
	case a.State() == caller.Failed:
		code = exitJobFailed
		err = errors.Errorf("the job failed: %s", a.Reason())
	case a.State() == caller.Refused:
		code = exitRefused
		err = errors.Errorf("the request was refused: %s", a.Reason())
	default:
		return nil
	}
	return &coded{
		code: code,
		err:  err,
	}
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submit a job and wait for its answer",
		ArgsUsage:   "TASK [TASK ...]",
		Description: "Each argument is the JSON of one task. Without --key a new key is made and printed on\nstandard error; submit again with this key to ask for the same job.\n" + answerCodes,
		Flags: callFlags(teamFlag(), keyFlag("made if missing"), &cli.StringFlag{
			Name:  "kind",
			Usage: "request `KIND` of the team (required)",
		}, &cli.Int64Flag{
			Name:  "deadline-ms",
			Usage: "`TIME` in ms since 1970 after which the answer has no use",
		}),
		Action: func(c *cli.Context) error {
			if err := needed(c, "team", "kind"); err != nil {
				return err
			}
			j, err := jobOf(c)
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

func jobOf(c *cli.Context) (caller.Job, error) {
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
		Usage:       "ask for the answer of a submission",
		Description: answerCodes,
		Flags: callFlags(teamFlag(), keyFlag("required"), &cli.BoolFlag{
			Name:  "wait",
			Usage: "wait for the final answer",
		}),
		Action: func(c *cli.Context) error {
			if err := needed(c, "team", "key"); err != nil {
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
		Usage:       "end a submission",
		Description: "Tasks that have not started will not start. A job that has ended keeps its answer.\n" + answerCodes,
		Flags:       callFlags(teamFlag(), keyFlag("required")),
		Action: func(c *cli.Context) error {
			if err := needed(c, "team", "key"); err != nil {
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
		Usage:       "print the state of a process",
		Description: "Asks any process by its HTTP address. Dumps contain no payloads and no secrets.\n" + exitCodes,
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

// printPage writes a page of a process, with the token in the flags.
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
		return errors.Wrap(err, "ask the process")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the process answered %s", resp.Status)
	}
	_, err = io.Copy(c.App.Writer, io.LimitReader(resp.Body, maxDumpBytes))
	return errors.Wrap(err, "read the page")
}
