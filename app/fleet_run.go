package app

import (
	"context"
	"net/http"
	"time"

	"buckthornpin"
)

// Run serves until ctx ends, then stops gracefully.
func (p *PlatformProcess) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, err := p.tasks(taskCtx)
	if err != nil {
		return err
	}
	p.Log.Info().Str("build", p.Build.Version).Dur("took_ms", time.Since(p.started)).Strs("seeds", *p.seeds.Load()).Msg("started")
	err = runTasks(ctx, taskCtx, tasks, func() { p.drain(taskCtx) }, stop)
	p.Log.Info().Err(err).Msg("stopped")
	return err
}

// drain turns readiness off, waits until the load balancer has noticed, finishes
// the requests in progress and hands the shares of budgets over to other routers.
func (p *PlatformProcess) drain(ctx context.Context) {
	started := time.Now()
	p.draining.Store(true)
	p.nodes.SetStopping()
	p.Log.Info().Msg("draining")
	if p.router == nil {
		leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
		defer cancel()
		p.joiner.Stop(leaveCtx)
		return
	}
	grace := time.Duration(p.Settings.Platform.Grace)
	callerServer := p.servers[0]
	quietAt, endsAt := started.Add(min(balancerDetectionTime, grace/3)), started.Add(grace-stopMargin)
	p.router.BeginStop(quietAt, endsAt)
	p.callerHandler.StartClosing()
	buckthornpin.Wait(ctx, time.Until(quietAt))
	shutdownCtx, cancel := context.WithDeadline(ctx, endsAt)
	err := callerServer.Shutdown(shutdownCtx)
	cancel()
	p.Log.Info().Err(err).Int64("in_progress", p.router.InProgress()).Msg("callers are served")
	if err != nil {
		p.endRequests(ctx, callerServer)
	}
	closeCtx, cancel := context.WithTimeout(ctx, stopMargin/2)
	defer cancel()
	p.shares.Close(closeCtx, p.otherRouters(time.Now()))
}

// endRequests ends the requests in progress, and waits until their callers have been answered.
func (p *PlatformProcess) endRequests(ctx context.Context, callerServer *http.Server) {
	p.router.EndRequests()
	ctx, cancel := context.WithTimeout(ctx, stopMargin/4)
	defer cancel()
	err := callerServer.Shutdown(ctx)
	p.Log.Info().Err(err).Int64("in_progress", p.router.InProgress()).Msg("requests in progress were ended")
}

// sweepInterval is the time between two checks for idle connections that are too
// old.
const sweepInterval = time.Second

func (p *PlatformProcess) sweep(ctx context.Context) error {
	buckthornpin.Every(ctx, sweepInterval, func(_ context.Context, now time.Time) { p.pool.Sweep(now) })
	return nil
}

// reload applies the seeds of changed settings. Other settings take effect at the
// next start only.
func (p *PlatformProcess) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.Reloads:
		}
		s, err := p.Reload()
		if err != nil {
			p.Log.Error().Err(err).Msg("settings can't be reloaded, the previous seeds stay in use")
			continue
		}
		p.setSeeds(s.Platform)
		p.Log.Info().Strs("seeds", s.Platform.SeedList()).Msg("settings are reloaded")
	}
}
