// Package daemon is the shell round every plane: it reads the settings, opens
// the listeners, locks the data folder, serves the probes and the internal
// protocol, and stops the process gently when it is asked to.
//
// A plane is an fx.Option. These are in its graph: *protocol.NodeSettings,
// *log.Logger, *prometheus.Registry (also as prometheus.Registerer), *wire.Pool
// (also as wire.Caller), *gin.Engine and *Process. A plane provides a
// wire.Handler, registers its HTTP routes while the graph is built and starts
// its work in OnStart hooks. These hooks must not wait for peers, because the
// internal listener is served only after them; what a plane waits for belongs
// into Readiness. Requests to its HTTP routes are answered with not_ready until
// all OnStart hooks have returned.
//
// A gentle stop makes the process unready, runs the drain hooks, ends the HTTP
// requests that are left and runs the OnStop hooks in reverse order. Peers are
// served until the last OnStop hook has returned, so that leadership or a range
// can still be handed over there; a handler answers with a failure once what
// it needs has stopped.
package daemon
