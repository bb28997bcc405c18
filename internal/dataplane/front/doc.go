// Package front is the data plane: it takes turns and tool calls in from
// callers, brings each to the front node that owns its session, and as owner
// chooses the back end, issues the request under a reservation in the ledger
// and passes the answer on event by event.
package front
