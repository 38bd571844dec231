package app

import (
	"context"
	"time"

	"buckthornpin"
)

// Run serves until ctx ends, then stops gracefully.
func (f *Fleet) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts, err := f.parts(inner)
	if err != nil {
		return err
	}
	f.Log.Info().Str("build", f.Build.Version).Dur("took_ms", time.Since(f.started)).Strs("seeds", *f.seeds.Load()).Msg("started")
	err = runParts(ctx, inner, parts, func() { f.drain(inner) }, stop)
	f.Log.Info().Err(err).Msg("stopped")
	return err
}

// drain turns readiness off, lets the balancer notice, finishes the requests in
// progress and gives the budgets back.
func (f *Fleet) drain(ctx context.Context) {
	began := time.Now()
	f.draining.Store(true)
	f.nodes.SetStopping()
	f.Log.Info().Msg("draining")
	if f.router == nil {
		return
	}
	grace := time.Duration(f.Settings.Platform.Grace)
	front := f.servers[0]
	front.SetKeepAlivesEnabled(false)
	wait(ctx, min(balancerNotices, grace/3))
	shutdown, cancel := context.WithDeadline(ctx, began.Add(grace-stopMargin))
	err := front.Shutdown(shutdown)
	cancel()
	f.Log.Info().Err(err).Int64("in_progress", f.router.InProgress()).Msg("callers are served")
	closing, cancel := context.WithTimeout(ctx, stopMargin/2)
	defer cancel()
	f.wallet.Close(closing, f.heirs())
}

func (f *Fleet) heirs() []string {
	var out []string
	for _, n := range f.nodes.Routers(time.Now()) {
		if !n.Stopping {
			out = append(out, n.Address)
		}
	}
	return out
}

// sweepInterval is the time between two looks for idle connections that are too
// old.
const sweepInterval = time.Second

func (f *Fleet) sweep(ctx context.Context) error {
	buckthornpin.Every(ctx, sweepInterval, func(_ context.Context, now time.Time) { f.pool.Sweep(now) })
	return nil
}

// reload takes seeds from settings that have changed.
func (f *Fleet) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.Reloads:
		}
		s, err := f.Reload()
		if err != nil {
			f.Log.Error().Err(err).Msg("settings can't be used, the old ones stay in force")
			continue
		}
		f.setSeeds(s.Platform)
		f.Log.Info().Strs("seeds", s.Platform.SeedList()).Msg("settings are reloaded")
	}
}
