// Package sessions holds what the owner of sessions caches of them: claimed
// epochs, histories, the turn in progress, and the event logs that readers of a
// turn follow, also for a while after its end. The ledger has the truth; nothing
// here needs to survive the process. A Store's goroutine owns its tables, a
// TurnLog has a mutex of its own.
package sessions
