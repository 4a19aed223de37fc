package member

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/settings"
)

// settingsPoll is the time between two reads of the settings file, which may
// change without a signal.
const settingsPoll = time.Second

// WatchSettings reads the settings file at every signal and every settingsPoll.
// When it has changed, the seeds are applied; no other setting may change at run
// time.
func (m *Member) WatchSettings(ctx context.Context, path string, signal <-chan os.Signal) {
	var last []byte
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		if text, err := os.ReadFile(path); err != nil {
			m.Logger.WithError(err).Warn("the settings file cannot be read; the last settings stay")
		} else if !bytes.Equal(text, last) {
			m.reload(path, text, last == nil)
			last = text
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-signal:
		}
	}
}

func (m *Member) reload(path string, text []byte, first bool) {
	if first {
		return
	}
	s, problems := settings.ParseMember(path, text)
	if len(problems) > 0 {
		m.Logger.WithField("problem", problems[0].String()).Warn("the changed settings are not valid; the last ones stay")
		return
	}
	m.directory.SetSeeds(m.seeds(s))
	m.Logger.WithField("seeds", s.Seeds).Info("settings reloaded")
}
