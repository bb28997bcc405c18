package front

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/dialect"
	"github.com/rosestand/rosestand/internal/dataplane/ownership"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledgerclient"
	"github.com/rosestand/rosestand/internal/transport/httpguard"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// readyCondition is the name under which a front node's readiness is shown.
const readyCondition = "front"

// Module is the front plane. It provides the link to the core, the session
// directory, the ledger's client, the Service and its wire.Handler, puts the
// routes on the engine, and starts and stops all of them with the process.
func Module(settings *protocol.FrontSettings) fx.Option {
	return fx.Module("front",
		fx.Supply(settings, dialect.Default(), Sockets{}),
		fx.Provide(
			provideLink,
			provideOwnership,
			provideLedger,
			provideService,
			func(s *Service) wire.Handler { return s },
		),
		fx.Invoke(run),
	)
}

func provideLink(process *daemon.Process, node *protocol.NodeSettings, settings *protocol.FrontSettings,
	caller wire.Caller, logger *log.Logger, registerer prometheus.Registerer,
) *corelink.Link {
	link := corelink.New(corelink.Options{
		Self: process.Self, Seeds: node.GetSeeds(), Caller: caller, Logger: logger, Registerer: registerer,
		RenewInterval: millis(settings.GetLeaseRenewMillis()),
	})
	process.OnSettings(func(changed *protocol.NodeSettings) { link.SetSeeds(changed.GetSeeds()) })
	return link
}

func provideOwnership(settings *protocol.FrontSettings, link *corelink.Link, pool *wire.Pool,
	logger *log.Logger, registerer prometheus.Registerer,
) *ownership.Manager {
	manager := ownership.New(ownership.Options{
		Link: link, Caller: pool, VirtualNodes: int(settings.GetVirtualPlaces()), Logger: logger, Registerer: registerer,
	})
	pool.OnBroken(manager.PeerBroken)
	return manager
}

func provideLedger(
	lifecycle fx.Lifecycle, process *daemon.Process, caller wire.Caller, link *corelink.Link,
) *ledgerclient.Client {
	client := ledgerclient.New(caller, link.View, ledgerclient.Options{Self: process.Self})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { client.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
	return client
}

func provideService(process *daemon.Process, link *corelink.Link, ledger *ledgerclient.Client,
	manager *ownership.Manager,
	caller wire.Caller, routeDialect dialect.Dialect, sockets Sockets, logger *log.Logger,
	registerer prometheus.Registerer,
) *Service {
	return New(Options{
		Self: process.Self, Link: link, Ledger: ledger, Ownership: grantingManager{manager}, Caller: caller,
		Dialect: routeDialect, Memory: process.Memory, DialBackEnd: sockets.Dial,
		Logger: logger, Registerer: registerer,
	})
}

// grantingManager adapts the directory's grants to Grant.
type grantingManager struct{ *ownership.Manager }

// Begin implements Ownership.
func (m grantingManager) Begin(session string) (Grant, error) {
	grant, err := m.Manager.Begin(session)
	if err != nil {
		return nil, err
	}
	return grant, nil
}

func run(lifecycle fx.Lifecycle, settings *protocol.FrontSettings, service *Service, manager *ownership.Manager,
	link *corelink.Link, process *daemon.Process, engine *gin.Engine, routeDialect dialect.Dialect, sockets Sockets,
	logger *log.Logger,
) {
	service.Register(engine, settings.GetMaxBodyBytes())
	process.Readiness.AddCheck(readyCondition, service.notReady)
	guard := httpguard.Options{
		Budget: process.Memory, Limits: service.callerLimits, MaxOpen: process.MaxTrafficConnections(),
	}
	listener := newRouteListener(settings.GetTrafficAddress(), &routeAPI{service: service, dialect: routeDialect}, sockets,
		guard, logger)
	process.OnDrain("front", func(ctx context.Context) error { return drainNode(ctx, service, listener) })
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := manager.Start(ctx); err != nil {
				return err
			}
			if err := service.Start(ctx); err != nil {
				return err
			}
			if err := link.Start(ctx); err != nil {
				return err
			}
			return listener.start(ctx)
		},
		OnStop: func(ctx context.Context) error {
			err := listener.stop()
			err = errors.CombineErrors(err, service.Stop(ctx))
			err = errors.CombineErrors(err, manager.Stop(ctx))
			return errors.CombineErrors(err, link.Stop(ctx))
		},
	})
}
