package command

import (
	"context"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/deployment"
	"github.com/rosestand/rosestand/internal/testing/lab/fleet"
)

const (
	servingDeadline   = 15 * time.Second
	conversationGrace = 20 * time.Second
	firstBundle       = 1
)

// withFleet lays a fleet out, lets use work with it, and stops it whatever use returns.
func (e *environment) withFleet(ctx context.Context, kind string, options fleet.Options,
	use func(f *fleet.Fleet) error,
) (err error) {
	f, err := e.newFleet(ctx, kind, options)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, e.stop(f)) }()
	return use(f)
}

// newFleet lays a fleet out in a run folder of its own; nothing is started yet.
func (e *environment) newFleet(ctx context.Context, kind string, options fleet.Options) (*fleet.Fleet, error) {
	if err := fleet.CheckBinaries(e.binaries); err != nil {
		return nil, err
	}
	options.Folder = e.runFolder(kind)
	options.Binaries = e.binaries
	options.Logger = e.logger
	e.logger.Info("run folder created", "path", options.Folder)
	return fleet.New(ctx, options)
}

// start brings the fleet up with the default bundle.
func (e *environment) start(ctx context.Context, f *fleet.Fleet) ([]audit.Order, error) {
	return e.startWith(ctx, f, f.Bundle(firstBundle))
}

// startWith brings the fleet up, delivers a first bundle and waits until every front node serves.
func (e *environment) startWith(ctx context.Context, f *fleet.Fleet, first *protocol.Bundle) ([]audit.Order, error) {
	if err := f.Start(ctx, fleet.KindCore, fleet.KindStore); err != nil {
		return nil, err
	}
	orders, err := f.DeliverBundle(ctx, first)
	if err != nil {
		return nil, err
	}
	e.logger.Info("bundle signed", "version", first.GetVersion())
	if err := f.Start(ctx, fleet.KindFront, fleet.KindBackEnd); err != nil {
		return nil, err
	}
	if err := f.AwaitServing(ctx, servingDeadline); err != nil {
		return nil, err
	}
	e.logger.Info("all front nodes started serving")
	return orders, nil
}

// callers are the settings of callers that talk to every front node of a fleet.
func (e *environment) callers(f *fleet.Fleet, served *deployment.Deployment, duration time.Duration,
	seed uint64,
) caller.Options {
	return caller.Options{
		Fronts: f.Fronts(), Site: served.Callers, Load: served.Load, Shape: served.Shape,
		Duration: duration, Grace: conversationGrace, Seed: seed, Run: filepath.Base(f.Folder()),
		Zones: zonesOf(f), Credentials: f.Credentials(),
	}
}

// zonesOf is the number of zones in which a fleet has front nodes.
func zonesOf(f *fleet.Fleet) int {
	zones := 1
	for _, front := range f.Fronts() {
		zones = max(zones, front.Zone+1)
	}
	return zones
}

// stop ends every process of a fleet, gently where it can.
func (e *environment) stop(f *fleet.Fleet) error {
	stopped, err := f.Stop()
	e.logger.Info("fleet stopped", "gentle", stopped.Gentle, "killed", stopped.Killed)
	return err
}
