package server

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"greengagedoor.example/greengagedoor/internal/connection/frame"
	"greengagedoor.example/greengagedoor/internal/process/event"
)

// reloadInterval is how often the settings file is checked for changes, which may
// come without a signal.
const reloadInterval = 2 * time.Second

// Reload describes how a process reloads its settings.
type Reload struct {
	// Path is the settings file; it may be empty.
	Path string
	// Load reads and validates the settings; nil disables reloading.
	Load func() (Settings, error)
}

// watchSettings adds the duty that reloads the settings on SIGHUP and when the file
// changes. New seeds take effect at once; other changes need a restart.
func (b *base) watchSettings(r Reload, l *links) error {
	if r.Load == nil {
		return nil
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	b.cleanups = append(b.cleanups, func() { signal.Stop(hup) })
	return b.add("settings", "Reloads the settings when they change.", nil, func(ctx context.Context) error {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		lastModTime := modTime(r.Path)
		for {
			cause := "file"
			select {
			case <-hup:
				cause = "signal"
			case <-ticker.C:
				m := modTime(r.Path)
				if m.Equal(lastModTime) {
					continue
				}
				lastModTime = m
			case <-ctx.Done():
				return nil
			}
			b.reload(r, l, cause)
		}
	})
}

func modTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}

func (b *base) reload(r Reload, l *links, cause string) {
	s, err := r.Load()
	if err != nil {
		b.logEvent(event.SettingsChanged, event.F("cause", cause), event.F("error", err.Error()))
		return
	}
	var peers []frame.Peer
	for _, a := range seedAddresses(s.seeds, b.settings.advertised) {
		peers = append(peers, frame.NewPeer("", a))
	}
	l.addPeers(peers)
	restart := s.name != b.settings.name || s.zone != b.settings.zone || s.link != b.settings.link || s.advertised != b.settings.advertised || s.maxLease != b.settings.maxLease || s.longestLease != b.settings.longestLease
	b.logEvent(event.SettingsChanged, event.F("cause", cause), event.F("seeds", s.seeds), event.F("restart_needed", restart))
}
