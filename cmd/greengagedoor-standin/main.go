// Command greengagedoor-standin runs stand-ins for the platform, which are the
// key-value store, the worker pool and targets, and the measurements that use them.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/connection/announcement"
	"greengagedoor.example/greengagedoor/internal/process/duty"
	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/standin/keyvalue"
	"greengagedoor.example/greengagedoor/internal/process/standin/pool"
	"greengagedoor.example/greengagedoor/internal/process/standin/record"
	"greengagedoor.example/greengagedoor/internal/process/standin/target"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

func main() {
	app := &cli.App{
		Name:  "greengagedoor-standin",
		Usage: "run stand-ins for the platform of greengagedoor and measure the system",
		Commands: []*cli.Command{
			storeCommand(),
			workersCommand(),
			targetCommand(),
			sizingCommand(),
			fitCommand(),
			loadCommand(),
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "greengagedoor-standin:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "listen",
		Required: true,
		Usage:    "`ADDRESS` of the HTTP interface, host:port",
	}
}

// serve runs the duties and an HTTP server until ctx ends or a duty fails.
func serve(ctx context.Context, address string, e *echo.Echo, duties ...duty.Duty) error {
	return serveAndDrain(ctx, address, e, func(*http.Server) {}, duties...)
}

// serveAndDrain runs the duties and an HTTP server until a duty fails, or until ctx
// ends and drain has returned.
func serveAndDrain(ctx context.Context, address string, e *echo.Echo, drain func(*http.Server), duties ...duty.Duty) error {
	e.HideBanner = true
	e.HidePort = true
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: 10 * time.Second,
	}
	httpDuty, err := duty.New("http", "Serves the HTTP interface of the stand-in.", nil, func(context.Context) error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	if err != nil {
		return err
	}
	table, err := duty.NewTable(append([]duty.Duty{httpDuty}, duties...)...)
	if err != nil {
		return err
	}
	failed, stop := table.Start(context.WithoutCancel(ctx))
	defer stop()
	defer func() { _ = server.Close() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		drain(server)
		return nil
	}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run the key-value store",
		Flags: []cli.Flag{listenFlag()},
		Action: func(c *cli.Context) error {
			s, err := keyvalue.New(time.Now)
			if err != nil {
				return err
			}
			d, err := duty.New("keyvalue", "Owns the keys and sessions.", nil, s.Run)
			if err != nil {
				return err
			}
			e := echo.New()
			s.Register(e)
			return serve(c.Context, c.String("listen"), e, d)
		},
	}
}

func workersCommand() *cli.Command {
	return &cli.Command{
		Name:  "workers",
		Usage: "run the worker pool",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{
				Name:  "count",
				Value: 11,
				Usage: "`NUMBER` of workers",
			},
		},
		Action: func(c *cli.Context) error {
			rec, err := record.New()
			if err != nil {
				return err
			}
			var workers []pool.Worker
			for i := range c.Int("count") {
				r, err := configuration.NewResources(16_000, 32<<30, 2)
				if err != nil {
					return err
				}
				workers = append(workers, pool.NewWorker(fmt.Sprintf("w%02d", i+1), string(rune('a'+i%3)), fmt.Sprintf("r%d", i/3), r))
			}
			p, err := pool.New(workers, rec, time.Now)
			if err != nil {
				return err
			}
			poolDuty, err := duty.New("pool", "Owns the leases.", nil, p.Run)
			if err != nil {
				return err
			}
			recordDuty, err := duty.New("record", "Counts the starts.", nil, rec.Run)
			if err != nil {
				return err
			}
			e := echo.New()
			p.Register(e)
			return serve(c.Context, c.String("listen"), e, recordDuty, poolDuty)
		},
	}
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "run a target that announces itself to an agent",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{
				Name:     "name",
				Required: true,
				Usage:    "`NAME` of the target",
			},
			&cli.StringFlag{
				Name:     "agent",
				Required: true,
				Usage:    "`URL` of the agent's HTTP interface",
			},
			&cli.StringSliceFlag{
				Name:     "service",
				Required: true,
				Usage:    "`NAME` of a service that the target offers; repeat the flag for further services",
			},
			&cli.IntFlag{
				Name:  "slots",
				Value: 8,
				Usage: "`NUMBER` of tasks that run at the same time",
			},
			&cli.IntFlag{
				Name:  "connections",
				Value: 64,
				Usage: "`NUMBER` of connections that the target accepts from its agent",
			},
			&cli.Float64Flag{
				Name:  "slowness",
				Value: 1,
				Usage: "`FACTOR` by which every run time is multiplied",
			},
		},
		Action: func(c *cli.Context) error {
			l, err := log.New(os.Stderr, "text", "info", c.String("name"))
			if err != nil {
				return err
			}
			rec, err := record.New()
			if err != nil {
				return err
			}
			a, err := announcement.New(c.String("name"), "http://"+c.String("listen")+"/task", c.StringSlice("service"),
				c.Int("slots"), c.Int("connections"), false)
			if err != nil {
				return err
			}
			t, err := target.New(a, c.String("agent"), c.Float64("slowness"), rec, l)
			if err != nil {
				return err
			}
			recordDuty, err := duty.New("record", "Counts the starts.", nil, rec.Run)
			if err != nil {
				return err
			}
			announceDuty, err := duty.New("announce", "Announces the target to its agent.", nil, t.Run)
			if err != nil {
				return err
			}
			e := echo.New()
			t.Register(e)
			return serveAndDrain(c.Context, c.String("listen"), e, t.Drain, recordDuty, announceDuty)
		},
	}
}
