// Package admission decides when a request may go to a server group: by the
// group's concurrency limit and queue, by the retry budget and by the tenants'
// rates. Generations of training steps pass gates of their own, behind the live
// requests of their group.
//
// One goroutine owns all tables (see Controller). The decisions themselves are
// those of the packages limit and trainingstep; the code here waits for them and
// reports them to the requests.
package admission
