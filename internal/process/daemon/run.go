package daemon

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// startTimeout bounds the start of a plane, which may read a large data folder.
const startTimeout = 10 * time.Minute

// instance is one running daemon.
type instance struct {
	source    *settingsSource
	settings  *protocol.NodeSettings
	key       []byte
	listeners *listeners
	folder    *dataFolder
	logger    *log.Logger
	process   *Process
	registry  *prometheus.Registry
	engine    *gin.Engine
	pool      *wire.Pool

	app     *fx.App
	handler wire.Handler
	started atomic.Bool
	running bool

	http   *http.Server
	served *servedHTTP
	// debug serves the profiler; nil without an address for it.
	debug  *servedHTTP
	server *wire.Server
}

// run opens what the process needs, starts the plane and stops it when asked to.
func run(kind protocol.NodeKind, source *settingsSource, key []byte, plane fx.Option, environment Environment) (failed error) {
	node := source.current.GetNode()
	logger, err := newLogger(environment.Errors, node)
	if err != nil {
		return err
	}
	if readableByOthers(node.GetClusterKeyFile()) {
		logger.Warn("every account of this machine may read the cluster key", "file", node.GetClusterKeyFile())
	}
	if node.GetTrustNetwork() {
		logger.Warn("this process runs without a cluster key: whoever reaches the internal port is trusted")
	}
	if trustsOperators(source.current) {
		logger.Warn("orders are taken without an operator's token: whoever reaches the HTTP port may give them")
	}
	opened, err := openListeners(node)
	if err != nil {
		return err
	}
	defer func() { failed = errors.CombineErrors(failed, opened.close()) }()
	folder, err := openDataFolder(node.GetDataFolder(), func(path string) bool {
		return waitForSpace(storage.OSFilesystem{}, path, logger, environment.Signals)
	})
	var stopped *stoppedBeforeStartError
	if errors.As(err, &stopped) {
		logger.Info("stopped while the start waited for room on the disk")
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { failed = errors.CombineErrors(failed, folder.close()) }()
	started := time.Now()
	incarnation, err := nextIncarnation(node.GetDataFolder(), started)
	if err != nil {
		return err
	}
	process := NewProcess(describeSelf(kind, node, opened, folder, incarnation), started)
	process.FreshFolder = folder.identity.Fresh
	i := &instance{source: source, settings: node, key: key, listeners: opened, folder: folder, logger: logger, process: process}
	if err := i.assemble(plane, maxBodyBytes(source.current)); err != nil {
		return err
	}
	return i.live(environment)
}

// trustsOperators reports whether the settings of a core say so.
func trustsOperators(loaded settings.Message) bool {
	core, is := loaded.(interface{ GetTrustOperators() bool })
	return is && core.GetTrustOperators()
}

func describeSelf(kind protocol.NodeKind, node *protocol.NodeSettings, opened *listeners, folder *dataFolder, incarnation uint64) *protocol.Node {
	return &protocol.Node{
		Name:        node.GetName(),
		Kind:        kind,
		Incarnation: incarnation,
		Address:     cmp.Or(node.GetAdvertisedAddress(), opened.internal.Addr().String()),
		HttpAddress: opened.http.Addr().String(),
		Zone:        node.GetZone(),
		Region:      node.GetRegion(),
		StorageId:   folder.identity.StorageID,
	}
}

// assemble builds the graph of the plane; nothing runs yet.
func (i *instance) assemble(plane fx.Option, maxBytes int64) error {
	i.registry = newRegistry(i.process)
	i.engine = newEngine(i.logger, i.registry)
	addProbes(i.engine, i.process, i.registry)
	i.pool = wire.NewPool(wire.PoolOptions{Key: i.key, Node: i.settings.GetName()})
	if err := registerWire(i.registry, "client", i.pool.Counters()); err != nil {
		return &StageError{Stage: "metrics", Cause: err}
	}
	i.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.Module("daemon",
			fx.Supply(i.settings, i.logger, i.registry, i.engine, i.process, i.pool),
			fx.Provide(
				func() prometheus.Registerer { return i.registry },
				func() wire.Caller { return i.pool },
			),
		),
		fx.Decorate(func(fx.Shutdowner) fx.Shutdowner { return shutdowner{process: i.process} }),
		plane,
		fx.Populate(&i.handler),
	)
	if err := i.app.Err(); err != nil {
		i.pool.Close()
		return &StageError{Stage: "assemble", Cause: err}
	}
	i.server = wire.NewServer(i.listeners.internal, i.handler, wire.ServerOptions{
		Key: i.key, OnRejected: i.countRefused(), OnPanic: i.reportPanic,
	})
	if err := registerWire(i.registry, "server", i.server.Counters()); err != nil {
		return &StageError{Stage: "metrics", Cause: err}
	}
	i.http = newHTTPServer(&guard{next: i.engine, started: i.started.Load, maxBytes: maxBytes}, i.logger)
	return nil
}

// reportPanic logs a handler's panic; the exchange it served ended with an internal error.
func (i *instance) reportPanic(recovered any, stack []byte) {
	i.logger.Error("internal handler panicked", "cause", recovered, "stack", string(stack))
}

func (i *instance) countRefused() func(net.Addr, error) {
	refused := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rosestand_wire_refused_handshakes_total",
		Help: "Internal connections that did not prove the cluster key.",
	})
	i.registry.MustRegister(refused)
	return func(remote net.Addr, err error) {
		refused.Inc()
		i.logger.Debug("internal connection refused", "remote", remote, "cause", err)
	}
}

// live serves the probes, starts the plane, serves the internal protocol and waits for the end.
func (i *instance) live(environment Environment) error {
	i.process.Readiness.Set(conditionStarted, "the process is starting")
	i.served = serve(i.http, i.listeners.http)
	if i.listeners.debug != nil {
		i.debug = serve(newDebugServer(i.logger), i.listeners.debug)
		i.logger.Info("the profiler is served", "address", i.listeners.debug.Addr())
	}
	reason := i.start(environment)
	if reason == nil {
		i.logger.Info("started", "kind", i.process.Self.GetKind(), "internal", i.process.Self.GetAddress(),
			"http", i.process.Self.GetHttpAddress(), "incarnation", i.process.Self.GetIncarnation())
		if environment.OnRunning != nil {
			environment.OnRunning(i.process)
		}
		stopWatching := i.watchSettings(environment.Reload)
		reason = i.wait(environment)
		stopWatching()
	}
	return i.stop(reason, environment)
}

// stopReason says why the process ends; a nil cause is a stop that was asked for.
type stopReason struct {
	cause error
}

// start runs the OnStart hooks; it returns a reason when the process must end instead of running.
func (i *instance) start(environment Environment) *stopReason {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- i.app.Start(ctx) }()
	select {
	case err := <-result:
		if err != nil {
			return &stopReason{cause: &StageError{Stage: "start", Cause: err}}
		}
	case <-environment.Signals:
		cancel()
		return i.abandonStart(result, environment, &stopReason{})
	case err := <-i.process.failures:
		cancel()
		return i.abandonStart(result, environment, &stopReason{cause: err})
	}
	i.running = true
	i.server.Start()
	i.started.Store(true)
	i.process.Readiness.Set(conditionStarted, "")
	return nil
}

// abandonStart waits for the OnStart hooks to return, or for a second signal.
func (i *instance) abandonStart(result <-chan error, environment Environment, reason *stopReason) *stopReason {
	select {
	case err := <-result:
		i.running = err == nil
	case <-environment.Signals:
		reason.cause = errors.CombineErrors(reason.cause, &CutShortError{Reason: "second signal during the start"})
	}
	return reason
}

func (i *instance) wait(environment Environment) *stopReason {
	select {
	case <-environment.Signals:
		return &stopReason{}
	case err := <-i.process.failures:
		return &stopReason{cause: err}
	}
}

// shutdowner turns the fx way of ending an application into a failure of the
// process. Waiting on fx itself would make it take the signals as well.
type shutdowner struct {
	process *Process
}

// Shutdown implements fx.Shutdowner.
func (s shutdowner) Shutdown(...fx.ShutdownOption) error {
	s.process.Fail(&ShutdownError{})
	return nil
}
