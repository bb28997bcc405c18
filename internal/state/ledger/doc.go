// Package ledger computes every change of a program's record and of a call's record. It does no I/O: its functions take
// a record and an operation and return the changed record and a result. Stores replicate the records as compare-and-set
// registers (package register). An operation may be applied again after its response was lost, so every change is
// idempotent under its identifiers.
//
// All functions are pure: they do not modify their arguments and may be called from any goroutine. Times are Unix
// milliseconds by the clock of the store that applies the operation.
//
// # States of a request, under its request id in the program's record
//
//	state     entered by                                           left by
//	unknown   -                                                    ReserveTurn, ReleaseTurn, RefuseRequest
//	reserved  ReserveTurn; its reservation limit is set aside      SettleTurn, ReleaseTurn, ClaimSession
//	settled   SettleTurn commits the turn and charges its tokens   end of its retention
//	charged   ReleaseTurn of a turn that ran, ClaimSession         end of its retention
//	          of a turn whose owner was lost (the full limit)
//	not run   ReleaseTurn of a turn that did not run,              end of its retention
//	          RefuseRequest (the tombstone)
//
// # States of a non-repeatable call
//
//	state    entered by                          left by
//	none     -                                   BeginCall, RefuseCall
//	intent   BeginCall; only one attempt may     FinishCall, RefuseCall of the same attempt
//	         issue the call
//	done     FinishCall, with the outcome        end of its retention
//	not run  RefuseCall (the tombstone)          end of its retention
//
// The epoch of a session is its fencing token: ClaimSession increments it, and operations under a lower epoch are
// rejected.
//
// See docs/LEDGER.md for the rationale.
package ledger
