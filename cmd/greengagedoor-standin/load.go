package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/log"
	"greengagedoor.example/greengagedoor/internal/process/role/local"
	"greengagedoor.example/greengagedoor/internal/process/standin/load"
)

// Parameters of the measured system and of the baseline, for which the measurement
// results are stated. queueLimit is the number of tasks that may wait at each target
// of the baseline.
const (
	loadAgents  = 11
	loadService = "sales"
	readyLimit  = 30 * time.Second
	queueLimit  = 1 << 20
)

// loadSlowness contains the factors on the run times of the targets. The fastest
// target is four times as fast as the slowest.
var loadSlowness = []float64{0.5, 1, 1.5, 2}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "run a user's workload on the product and on a baseline and compare the results",
		Description: "Starts a system of eleven agents with a target of 8 slots each on loopback, sends an\n" +
			"open-loop trace, sends the same trace to the baseline (random target, first-in\n" +
			"first-out queue), and prints both results with their ratios.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "user",
				Value: "tegnestuen",
				Usage: "tegnestuen or lakeshore",
			},
			&cli.Float64Flag{
				Name:  "load",
				Value: 0.8,
				Usage: "offered load as a fraction of the capacity",
			},
			&cli.DurationFlag{
				Name:  "length",
				Value: 20 * time.Second,
				Usage: "length of the trace",
			},
			&cli.Float64Flag{
				Name:  "crest",
				Usage: "offered load during the load peak as a fraction of the capacity, 0 for no peak",
			},
			&cli.DurationFlag{
				Name:  "crest-from",
				Value: 5 * time.Second,
				Usage: "start of the load peak",
			},
			&cli.DurationFlag{
				Name:  "crest-length",
				Value: 5 * time.Second,
				Usage: "length of the load peak",
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Value: 1,
				Usage: "seed of all random choices",
			},
			&cli.StringFlag{
				Name:  "plot",
				Usage: "`PREFIX` of two SVG files with goodput and wait over time",
			},
			&cli.DurationFlag{
				Name:  "warm-up",
				Value: 5 * time.Second,
				Usage: "wait before the trace, until the shards of the agents that joined have been assigned",
			},
			&cli.IntFlag{
				Name:  "slowest",
				Usage: "print the `N` jobs that waited longest in the product",
			},
			&cli.BoolFlag{
				Name:  "no-baseline",
				Usage: "compare the product with itself, to save time",
			},
		},
		Action: runLoad,
	}
}

func runLoad(c *cli.Context) error {
	kinds, ok := load.Workloads()[c.String("user")]
	if !ok {
		return errors.Errorf("user is %q, want tegnestuen or lakeshore", c.String("user"))
	}
	peakEnd := c.Duration("crest-from") + c.Duration("crest-length")
	if c.Float64("crest") == 0 {
		peakEnd = c.Duration("crest-from")
	}
	shape, err := load.NewShape(c.Float64("load"), c.Duration("length"), c.Float64("crest"), c.Duration("crest-from"), max(peakEnd, 0))
	if err != nil {
		return err
	}
	size, err := local.NewSize(loadAgents, 1, loadSlowness)
	if err != nil {
		return err
	}
	sys, stop, err := startSystem(c.Context, size, c.Uint64("seed"), kinds)
	if err != nil {
		return err
	}
	defer stop()
	select {
	case <-time.After(c.Duration("warm-up")):
	case <-c.Context.Done():
		return c.Context.Err()
	}
	jobs := load.Trace(kinds, shape, size.Capacity(), c.Uint64("seed"))
	fmt.Fprintf(c.App.Writer, "%d jobs of %s, capacity %.1f task seconds a second, seed %d\n", len(jobs), c.String("user"), size.Capacity(), c.Uint64("seed"))
	product, err := measureProduct(c.Context, sys, jobs, shape, size.Capacity())
	if err != nil {
		return err
	}
	baseline := product
	if !c.Bool("no-baseline") {
		baseline, err = measureBaseline(c.Context, sys, jobs, shape, size.Capacity(), c.Uint64("seed"))
		if err != nil {
			return err
		}
	}
	if err := load.Print(c.App.Writer, product, baseline); err != nil {
		return err
	}
	product.Slowest(c.App.Writer, c.Int("slowest"))
	counts, err := sys.Record().Counts(c.Context)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.App.Writer, "tasks started more than once at the targets: %d\n", counts.Duplicated())
	if p := c.String("plot"); p != "" {
		return load.Plot(p+"_goodput.svg", p+"_wait.svg", product, baseline)
	}
	return nil
}

func startSystem(ctx context.Context, size local.Size, seed uint64, kinds []load.Kind) (*local.System, func(), error) {
	l, err := log.New(os.Stderr, "text", "error", "load")
	if err != nil {
		return nil, nil, err
	}
	l.Logger.SetOutput(io.Discard)
	sys, cleanup, err := local.NewSized(size, seed, l)
	if err != nil {
		return nil, nil, err
	}
	_, stop, err := sys.Start(ctx)
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	stopAll := func() {
		stop()
		cleanup()
	}
	cfg, err := load.Configuration(kinds, loadService)
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, readyLimit)
		defer cancel()
		err = sys.Apply(ctx, cfg)
	}
	if err == nil {
		err = sys.Ready(ctx)
	}
	if err != nil {
		stopAll()
		return nil, nil, err
	}
	return sys, stopAll, nil
}

func measureProduct(ctx context.Context, sys *local.System, jobs []load.Job, shape load.Shape, capacity float64) (*load.Result, error) {
	dispatch, cleanup := load.Product(sys.Entries(), nil)
	defer cleanup()
	processes := append(sys.Agents(), sys.Entries()...)
	before, err := load.SentMessages(ctx, processes)
	if err != nil {
		return nil, err
	}
	samples, err := load.Run(ctx, jobs, dispatch)
	if err != nil {
		return nil, err
	}
	after, err := load.SentMessages(ctx, processes)
	if err != nil {
		return nil, err
	}
	return load.Summarize("product", samples, shape, capacity, load.ExcessMessages(after-before, samples)), nil
}

func measureBaseline(ctx context.Context, sys *local.System, jobs []load.Job, shape load.Shape, capacity float64, seed uint64) (*load.Result, error) {
	var targets []load.Target
	for _, url := range sys.Targets() {
		targets = append(targets, load.NewTarget(url, sys.Slots()))
	}
	dispatch, cleanup, err := load.Baseline(targets, seed, queueLimit)
	if err != nil {
		return nil, err
	}
	defer cleanup()
	samples, err := load.Run(ctx, jobs, dispatch)
	if err != nil {
		return nil, err
	}
	return load.Summarize("baseline", samples, shape, capacity, -1), nil
}
