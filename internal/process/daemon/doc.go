// Package daemon runs a process around one plane (front node, core or store): it
// loads the settings, opens the listeners, locks the data folder, serves the
// monitoring routes and the internal protocol, and shuts the process down
// gracefully on a signal.
//
// A plane is an fx.Option. The daemon provides it with *protocol.NodeSettings,
// *log.Logger, *prometheus.Registry (also as prometheus.Registerer), *wire.Pool
// (also as wire.Caller), *gin.Engine and *Process. A plane provides a
// wire.Handler, registers its HTTP routes while the graph is built and starts
// its work in OnStart hooks. These hooks must not wait for peers, because the
// internal listener is served only after they have returned; a plane reports what
// it still waits for through Readiness. Requests to its HTTP routes fail with
// not_ready until all OnStart hooks have returned.
//
// A graceful shutdown makes the process unready, runs the drain hooks, ends the
// remaining HTTP requests and runs the OnStop hooks in reverse order. Peers are
// served until the last OnStop hook has returned, so that an OnStop hook can
// still transfer leadership or a range; a handler returns a failure once the
// components that it needs have stopped.
//
// An instance is owned by the goroutine of run. Process and Readiness are shared
// with the plane and safe for concurrent use.
package daemon
