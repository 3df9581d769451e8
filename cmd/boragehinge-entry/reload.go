package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"boragehinge.example/boragehinge/platform"
)

// settingsPoll is the interval at which the settings file is looked at, as it may change without a signal.
const settingsPoll = 3 * time.Second

// watchReload reads the settings file anew at SIGHUP and when the file has changed.
func (e *entry) watchReload(ctx context.Context, f *flags) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := fileState(f.settings)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if fileState(f.settings) == seen {
				continue
			}
		}
		seen = fileState(f.settings)
		e.reload(f)
	}
}

// fileVersion tells one content of a file from another.
type fileVersion struct {
	modified time.Time
	size     int64
}

// fileState returns the zero value for a file that can't be read; reload reports that.
func fileState(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// reload takes over what a running process can change. A file with findings changes nothing.
func (e *entry) reload(f *flags) {
	next, err := platform.LoadSettings(f.settings)
	if err != nil {
		e.log.Warn().Str("event", "reload").Err(err).Msg("settings file is not valid; the running settings stay")
		return
	}
	live, fixed := e.settings.Load().Changes(next)
	e.settings.Store(next)
	e.node.Reload(next.Seeds, limits(next, f))
	e.log.Info().Str("event", "reload").Strs("changed", live).Strs("changed_at_next_start", fixed).Msg("settings reloaded")
}
