package app

import (
	"context"
	"expvar"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"buckthornpin"
	"buckthornpin/event"
)

const (
	// settingsPollInterval is the time between two checks of the settings file. It
	// is well below the few seconds within which changed seeds have to apply.
	settingsPollInterval = time.Second
	// maxPendingLogLines is how many log lines may wait to be written.
	maxPendingLogLines = 4096
)

// droppedLines counts log lines that could not be written in time.
var droppedLines expvar.Int

// nonBlockingWriter returns a writer that never blocks, and a function that
// writes the pending lines and closes it.
func nonBlockingWriter(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, maxPendingLogLines, 0, func(missed int) { droppedLines.Add(int64(missed)) })
	return d, func() { _ = d.Close() }
}

// watchSettings sends a value on the returned channel after a SIGHUP and when the
// modification time of the file has changed.
func watchSettings(ctx context.Context, path string) <-chan struct{} {
	out := make(chan struct{}, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		last := modificationTime(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-ticker.C:
				now := modificationTime(path)
				if now.Equal(last) {
					continue
				}
				last = now
			}
			select {
			case out <- struct{}{}:
			default:
			}
		}
	}()
	return out
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// eventRecorder records events on the time line and writes them to the log.
type eventRecorder struct {
	timeline *event.Timeline
	log      zerolog.Logger
}

// Record implements buckthornpin.Recorder.
func (l *eventRecorder) Record(e buckthornpin.Event) {
	l.timeline.Record(e)
	l.log.Info().Str("event", string(e.Kind)).Str("endpoint", e.Endpoint).Str("detail", e.Detail).Msg("belief has changed")
}
