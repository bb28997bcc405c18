// Package heartbeat relays the heartbeats of back ends to the core. A back end
// sends its own to any front node; the front node sends many at a time, so that
// the leader's load does not grow with the number of back ends.
package heartbeat
