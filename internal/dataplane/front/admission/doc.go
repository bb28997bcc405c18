// Package admission decides when a request may be sent to a server group: by the
// group's concurrency limit and queue, by the retry budget and by the rate limits
// of the tenants. Generations of training steps pass separate gates and have
// lower priority than the live requests of their group.
//
// One goroutine owns all tables (see Controller). The packages limit and
// trainingstep make the decisions; this package blocks requests until their
// decision is made and returns it to them.
package admission
