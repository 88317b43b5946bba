package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/role/node"
	"greengagedoor.example/greengagedoor/internal/process/setting"
	"greengagedoor.example/greengagedoor/platform"
)

// The parameters of the garbage collector.
const (
	// gcPercent lets the heap triple between collections; the live heap is small
	// against the memory of the host.
	gcPercent = 200
	// memoryShare is the part of the memory that the Go runtime may use, in percent;
	// the rest is for stacks of the C library and socket buffers.
	memoryShare = 80
)

// platformCommand groups the roles that run on the users' platform.
func platformCommand() *cli.Command {
	return documented(&cli.Command{
		Name:  "platform",
		Usage: "run a role on the users' platform",
		Subcommands: []*cli.Command{
			platformAgentCommand(),
			platformEntryCommand(),
		},
	})
}

// settings are what both roles take from their table.
func settings(v *setting.Values) (node.Settings, error) {
	s, err := node.NewSettings(v.Text("process", "name"), v.Text("process", "availability_zone"),
		v.Text("listen", "link"), v.Text("listen", "metrics"), v.List("peers", "seeds"))
	if err != nil {
		return node.Settings{}, err
	}
	limitMemory(v.Number("limits", "memory_mb"))
	return s.AdvertisedAt(v.Text("listen", "advertised")).WithTimes(v.Milliseconds("times", "max_lease_ms"), time.Duration(v.Number("times", "grace_s"))*time.Second), nil
}

// limitMemory lets the garbage collector use the memory of small hosts well: it
// runs less often while there is room, and more often close to the limit.
func limitMemory(megabytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(megabytes << 20 * memoryShare / 100)
}

func seams(c *cli.Context, t setting.Table, v *setting.Values) (node.Dependencies, func()) {
	s, cleanup := platform.NewStore(v.Text("store", "address"), v.Milliseconds("store", "timeout_ms"))
	return node.Dependencies{
		Store:            s,
		ConfigurationKey: platform.ConfigurationKey,
		Decode:           platform.DecodeConfiguration,
		Out:              os.Stdout,
		Reload: node.Reload{
			Path: settingsFile(c),
			Load: func() (node.Settings, error) {
				v, err := load(c, t)
				if err != nil {
					return node.Settings{}, err
				}
				return settings(v)
			},
		},
	}, cleanup
}

func platformAgentCommand() *cli.Command {
	return roleCommand(setting.PlatformAgent(), "run the process beside a target", func(c *cli.Context, v *setting.Values) error {
		s, err := settings(v)
		if err != nil {
			return err
		}
		outside, cleanup := seams(c, setting.PlatformAgent(), v)
		defer cleanup()
		target, cleanup := platform.NewTarget()
		defer cleanup()
		a, cleanup, err := node.NewAgent(s, outside, node.TargetCalls{
			Order: target.Order,
			Renew: target.Renew,
		})
		if err != nil {
			return err
		}
		defer cleanup()
		if err := a.Serve(v.Text("listen", "reports"), "reports", "Takes the target's reports.", platform.ReportHandler(a.Push, a.Log)); err != nil {
			return err
		}
		return a.Run(c.Context)
	})
}

func platformEntryCommand() *cli.Command {
	return roleCommand(setting.PlatformEntry(), "run the process that callers reach", func(c *cli.Context, v *setting.Values) error {
		s, err := settings(v)
		if err != nil {
			return err
		}
		outside, cleanup := seams(c, setting.PlatformEntry(), v)
		defer cleanup()
		e, cleanup, err := node.NewEntry(s, outside)
		if err != nil {
			return err
		}
		defer cleanup()
		if err := e.Serve(v.Text("listen", "callers"), "callers", "Serves callers.", platform.CallerHandler(desk(e))); err != nil {
			return err
		}
		if err := e.Serve(v.Text("listen", "readiness"), "readiness", "Tells the load balancer whether callers are taken.", platform.ReadinessHandler(e.Ready)); err != nil {
			return err
		}
		return e.Run(c.Context)
	})
}

// desk connects the callers' front end to an entry.
func desk(e *node.Entry) platform.EntryCalls {
	return platform.EntryCalls{
		Submit: e.Submit,
		Cancel: e.Cancel,
		Query:  e.Query,
		BodyBytes: func() int {
			if v := e.Version(); v != nil {
				return v.Limits().BodyBytes()
			}
			return 0
		},
		Leaving: e.Leaving,
	}
}
