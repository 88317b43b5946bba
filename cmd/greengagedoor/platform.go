package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v2"

	"greengagedoor.example/greengagedoor/internal/process/intake"
	"greengagedoor.example/greengagedoor/internal/process/role/server"
	"greengagedoor.example/greengagedoor/internal/process/setting"
	"greengagedoor.example/greengagedoor/internal/process/web"
	"greengagedoor.example/greengagedoor/platform"
)

// Parameters of the garbage collector.
const (
	// gcPercent lets the heap triple between collections. The live heap is small
	// compared with the memory of the host.
	gcPercent = 200
	// programMegabytes is for the pages of the program file and of the C library, which the
	// limit of the Go runtime does not count.
	programMegabytes = 16
	// memoryShare is the percentage of the other memory that the Go runtime may use. The
	// rest is for stacks of the C library and socket buffers.
	memoryShare = 80
	// minMemoryShare is the percentage of all memory that it may use on the smallest hosts.
	minMemoryShare = 50
)

func platformCommand() *cli.Command {
	return documented(&cli.Command{
		Name:  "platform",
		Usage: "run a role on the users' platform, or check a configuration of it",
		Subcommands: []*cli.Command{
			platformAgentCommand(),
			platformEntryCommand(),
			platformCheckCommand(),
		},
	})
}

// commonSettings returns the settings that both roles have in common. It also applies
// the memory limit, at start and at each reload.
func commonSettings(v *setting.Values) (server.Settings, error) {
	s, err := server.NewSettings(v.Text("process", "name"), v.Text("process", "availability_zone"),
		v.Text("listen", "link"), v.Text("listen", "metrics"), v.List("peers", "seeds"))
	if err != nil {
		return server.Settings{}, err
	}
	limitMemory(v.Number("limits", "memory_mb"))
	s = s.WithResources(intake.NewResources(v.Number("limits", "memory_mb")<<20, int(v.Number("limits", "descriptors"))))
	return s.AdvertisedAt(v.Text("listen", "advertised")).WithTimes(v.Milliseconds("times", "max_lease_ms"), time.Duration(v.Number("times", "grace_s"))*time.Second), nil
}

// limitMemory tunes the garbage collector for small hosts: it runs less often while
// memory is free and more often near the limit.
func limitMemory(megabytes int64) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(max((megabytes-programMegabytes)<<20*memoryShare, megabytes<<20*minMemoryShare) / 100)
}

func newDependencies(c *cli.Context, t setting.Table, v *setting.Values) (server.Dependencies, func()) {
	s, cleanup := platform.NewStore(v.Text("store", "address"), v.Milliseconds("store", "timeout_ms"))
	return server.Dependencies{
		Store:            s,
		ConfigurationKey: platform.ConfigurationKey,
		EvacuatedZone:    platform.EvacuatedZone,
		Decode:           platform.NewConfigurationDecoder().Decode,
		Out:              os.Stdout,
		Reload: server.Reload{
			Path: settingsFile(c),
			Load: func() (server.Settings, error) {
				v, err := load(c, t)
				if err != nil {
					return server.Settings{}, err
				}
				return commonSettings(v)
			},
		},
	}, cleanup
}

func platformAgentCommand() *cli.Command {
	return roleCommand(setting.PlatformAgent(), "run the agent of a target", func(c *cli.Context, v *setting.Values) error {
		s, err := commonSettings(v)
		if err != nil {
			return err
		}
		dependencies, cleanup := newDependencies(c, setting.PlatformAgent(), v)
		defer cleanup()
		target, cleanup := platform.NewTarget()
		defer cleanup()
		a, cleanup, err := server.NewAgent(s, dependencies, server.TargetCalls{
			Send:  target.Send,
			Renew: target.Renew,
		})
		if err != nil {
			return err
		}
		defer cleanup()
		if err := a.Serve(v.Text("listen", "reports"), "reports", "Receives the target's reports.", platform.ReportHandler(a.Push, a.Log)); err != nil {
			return err
		}
		return a.Run(c.Context)
	})
}

// entrySettings adds the settings that only entries have.
func entrySettings(s server.Settings, v *setting.Values) server.Settings {
	s = s.WithConfigApply(v.Milliseconds("times", "config_apply_ms")).
		WithRemoteFactor(v.Decimal("placement", "remote_factor"))
	if v.Text("placement", "wait_for_rack") == "off" {
		return s.WithoutWaits()
	}
	return s
}

func platformEntryCommand() *cli.Command {
	return roleCommand(setting.PlatformEntry(), "run the entry for callers", func(c *cli.Context, v *setting.Values) error {
		s, err := commonSettings(v)
		if err != nil {
			return err
		}
		dependencies, cleanup := newDependencies(c, setting.PlatformEntry(), v)
		defer cleanup()
		if v.Number("times", "evacuate_ms") > 0 {
			dependencies.OperatorsPrefix = platform.OperatorsPrefix
		}
		e, cleanup, err := server.NewEntry(entrySettings(s, v), dependencies)
		if err != nil {
			return err
		}
		defer cleanup()
		if err := e.ServeSide(v.Text("listen", "readiness"), "readiness", "Reports to the load balancer whether the entry accepts callers.", platform.ReadinessHandler(e.Ready)); err != nil {
			return err
		}
		// The last duty stops first, so callers get all the time that is left.
		if err := e.Serve(v.Text("listen", "callers"), "callers", "Serves callers.", platform.CallerHandler(entryCalls(e))); err != nil {
			return err
		}
		return e.Run(c.Context)
	})
}

// entryCalls returns the calls of an entry that the handler for callers needs.
func entryCalls(e *server.Entry) platform.EntryCalls {
	return platform.EntryCalls{
		Now:    e.Now,
		Submit: e.Submit,
		Cancel: e.Cancel,
		Query:  e.Query,
		Fits:   web.Fits,
		Hold:   web.Hold,
		BodyBytes: func() int {
			if v := e.Version(); v != nil {
				return v.Limits().BodyBytes()
			}
			return 0
		},
	}
}
