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
	// watchInterval is the time between two looks at the settings file: well
	// within the seconds that a change of the seeds may take.
	watchInterval = time.Second
	// logLines is how many log lines may wait for the writer.
	logLines = 4096
)

// droppedLines counts log lines that could not be written in time.
var droppedLines expvar.Int

// nonBlocking returns a writer that never waits, and a function that writes what
// is left.
func nonBlocking(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, logLines, 0, func(missed int) { droppedLines.Add(int64(missed)) })
	return d, func() { _ = d.Close() }
}

// watchSettings tells of a SIGHUP and of a file that has changed without one.
func watchSettings(ctx context.Context, path string) <-chan struct{} {
	out := make(chan struct{}, 1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		last := modified(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
			case <-ticker.C:
				now := modified(path)
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

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// loggedEvents records events on the time line and writes them to the log.
type loggedEvents struct {
	line *event.Line
	log  zerolog.Logger
}

// Record implements buckthornpin.Recorder.
func (l *loggedEvents) Record(e buckthornpin.Event) {
	l.line.Record(e)
	l.log.Info().Str("event", string(e.Kind)).Str("endpoint", e.Endpoint).Str("detail", e.Detail).Msg("belief has changed")
}
