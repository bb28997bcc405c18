// Package sessions is the cache of a front node for the sessions that it owns:
// claimed epochs, conversation histories, the turn in progress, and the event logs
// that readers of a turn follow, which are kept for some time after the turn's
// end. The ledger is authoritative; nothing here needs to survive the process. The
// goroutine of a Cache owns its tables; each TurnLog has a mutex.
package sessions
