// Package front is the data plane of one process. As ingress it admits turns and
// tool calls of callers and forwards each to the front node that owns its session; as owner it
// chooses the back end, issues the request under a reservation in the ledger
// and streams the answer event by event.
package front
