// Package heartbeat relays the heartbeats of back ends to the core. A back end may
// send its heartbeats to any front node, which sends them to the leader in
// batches, so that the number of requests to the leader does not grow with the
// number of back ends.
package heartbeat
