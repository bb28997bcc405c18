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

// startTimeout limits the start of a plane, which may have to read a large data folder.
const startTimeout = 10 * time.Minute

// instance holds the state of one running daemon. The goroutine of run owns it; the goroutine of
// startSettingsWatch uses source, logger and process while the plane runs.
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

	httpServer  *http.Server
	httpService *httpService
	// debugService serves the profiler; nil if node.debug_address is empty.
	debugService *httpService
	wireServer   *wire.Server
}

// run opens the listeners and the data folder, starts the plane and runs it until it is stopped.
func run(
	kind protocol.NodeKind, source *settingsSource, key []byte, plane fx.Option, environment Environment,
) (runError error) {
	node := source.current.GetNode()
	logger, err := newLogger(environment.Errors, node)
	if err != nil {
		return err
	}
	warnAboutTrust(logger, source.current)
	listeners, err := openListeners(context.Background(), node)
	if err != nil {
		return err
	}
	defer func() { runError = errors.CombineErrors(runError, listeners.close()) }()
	folder, err := openDataFolder(node.GetDataFolder(), func(path string) bool {
		return waitForSpace(storage.OSFilesystem{}, path, logger, environment.Signals)
	})
	var stopped *stoppedBeforeStartError
	if errors.As(err, &stopped) {
		logger.Info("stopped while waiting for disk space")
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { runError = errors.CombineErrors(runError, folder.close()) }()
	i := &instance{source: source, settings: node, key: key, listeners: listeners, folder: folder, logger: logger}
	if i.process, err = i.newProcess(kind); err != nil {
		return err
	}
	if err := i.assemble(plane, maxBodyBytes(source.current)); err != nil {
		return err
	}
	return i.runUntilStopped(environment)
}

// warnAboutTrust logs a warning for each protection that the settings disable.
func warnAboutTrust(logger *log.Logger, loaded settings.Message) {
	node := loaded.GetNode()
	if readableByOthers(node.GetClusterKeyFile()) {
		logger.Warn("cluster key file is readable by other users", "file", node.GetClusterKeyFile())
	}
	if node.GetTrustNetwork() {
		logger.Warn("internal port accepts connections without a cluster key", "address", node.GetInternalAddress())
	}
	if core, isCore := loaded.(interface{ GetTrustOperators() bool }); isCore && core.GetTrustOperators() {
		logger.Warn("HTTP port accepts operator commands without tokens", "address", node.GetHttpAddress())
	}
}

// newProcess returns the process with its next incarnation and its resolved addresses.
func (i *instance) newProcess(kind protocol.NodeKind) (*Process, error) {
	startedAt := time.Now()
	incarnation, err := nextIncarnation(storage.OSFilesystem{}, i.settings.GetDataFolder(), startedAt)
	if err != nil {
		return nil, err
	}
	process := NewProcess(&protocol.Node{
		Name:        i.settings.GetName(),
		Kind:        kind,
		Incarnation: incarnation,
		Address:     cmp.Or(i.settings.GetAdvertisedAddress(), i.listeners.internal.Addr().String()),
		HttpAddress: i.listeners.http.Addr().String(),
		Zone:        i.settings.GetZone(),
		Region:      i.settings.GetRegion(),
		StorageId:   i.folder.identity.StorageID,
	}, startedAt)
	process.FreshFolder = i.folder.identity.Fresh
	if process.Memory, err = limitMemory(i.settings); err != nil {
		return nil, err
	}
	process.MaxOpenFiles, err = maxOpenFiles(i.settings)
	return process, err
}

// assemble builds the dependency graph of the plane and the servers, without starting them.
func (i *instance) assemble(plane fx.Option, maxBytes int64) error {
	i.registry = newRegistry(i.process)
	i.engine = newEngine(i.logger, i.registry)
	addMonitoringRoutes(i.engine, i.process, i.registry)
	if err := registerMemoryMetrics(i.registry, i.process.Memory); err != nil {
		return &StageError{Stage: "metrics", Cause: err}
	}
	i.pool = wire.NewPool(wire.PoolOptions{Key: i.key, Node: i.settings.GetName()})
	if err := registerWireCounters(i.registry, "client", i.pool.Counters()); err != nil {
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
	i.wireServer = wire.NewServer(i.listeners.internal, i.handler, wire.ServerOptions{
		Key: i.key, Memory: i.process.Memory, OnRejected: i.countRejectedHandshakes(), OnPanic: i.reportPanic,
	})
	if err := registerWireCounters(i.registry, "server", i.wireServer.Counters()); err != nil {
		return &StageError{Stage: "metrics", Cause: err}
	}
	i.httpServer = newHTTPServer(&requestGuard{next: i.engine, started: i.started.Load, maxBytes: maxBytes}, i.logger)
	return nil
}

// reportPanic logs the panic of a handler, whose request the server has ended with an internal error.
func (i *instance) reportPanic(recovered any, stack []byte) {
	i.logger.Error("internal handler panicked", "cause", recovered, "stack", string(stack))
}

func (i *instance) countRejectedHandshakes() func(net.Addr, error) {
	rejected := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rosestand_wire_refused_handshakes_total",
		Help: "Internal connections that did not prove the cluster key.",
	})
	i.registry.MustRegister(rejected)
	return func(remote net.Addr, err error) {
		rejected.Inc()
		i.logger.Debug("internal connection rejected", "remote", remote, "cause", err)
	}
}

// runUntilStopped serves the monitoring routes, starts the plane, serves the
// internal protocol, waits for a stop or a failure, and shuts the process down.
func (i *instance) runUntilStopped(environment Environment) error {
	i.process.Readiness.Set(conditionStarted, "the process is starting")
	i.httpService = startHTTP(i.httpServer, guardHTTP(i.listeners.http, i.process))
	if i.listeners.debug != nil {
		i.debugService = startHTTP(newDebugServer(i.logger), guardHTTP(i.listeners.debug, i.process))
		i.logger.Info("profiler started", "address", i.listeners.debug.Addr())
	}
	reason := i.start(environment)
	if reason == nil {
		i.logger.Info("started", "kind", i.process.Self.GetKind(), "internal", i.process.Self.GetAddress(),
			"http", i.process.Self.GetHttpAddress(), "incarnation", i.process.Self.GetIncarnation())
		if environment.OnRunning != nil {
			environment.OnRunning(i.process)
		}
		stopWatching := i.startSettingsWatch(environment.Reload)
		reason = i.waitForStop(environment)
		stopWatching()
	}
	return i.stop(reason, environment)
}

// stopReason is the reason why the process stops; its cause is nil if the stop was requested.
type stopReason struct {
	cause error
}

// start runs the OnStart hooks; it returns a reason if the process must stop instead of running.
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
		return i.abortStart(result, environment, &stopReason{})
	case err := <-i.process.failures:
		cancel()
		return i.abortStart(result, environment, &stopReason{cause: err})
	}
	i.running = true
	i.wireServer.Start()
	i.started.Store(true)
	i.process.Readiness.Set(conditionStarted, "")
	return nil
}

// abortStart waits for the start, whose context has ended, to return, or for an interrupt that follows another signal.
func (i *instance) abortStart(result <-chan error, environment Environment, reason *stopReason) *stopReason {
	for {
		select {
		case err := <-result:
			i.running = err == nil
			return reason
		case received := <-environment.Signals:
			if !i.interruptsStop(received) {
				continue
			}
			reason.cause = errors.CombineErrors(reason.cause, &InterruptedStopError{Reason: "second signal during startup"})
			return reason
		}
	}
}

func (i *instance) waitForStop(environment Environment) *stopReason {
	select {
	case <-environment.Signals:
		return &stopReason{}
	case err := <-i.process.failures:
		return &stopReason{cause: err}
	}
}

// shutdowner reports a shutdown through fx as a failure of the process. The daemon
// does not wait on fx itself, because fx would then handle the signals as well.
type shutdowner struct {
	process *Process
}

// Shutdown implements fx.Shutdowner.
func (s shutdowner) Shutdown(...fx.ShutdownOption) error {
	s.process.Fail(&ShutdownError{})
	return nil
}
