// Package ledger decides every change of a program's record and of a call's record. It does no I/O: a record and an
// operation go in, the changed record and the result come out. Stores replicate the records as compare-and-set
// registers (package register); since an operation may be applied again after a lost answer, every change is
// idempotent under its identifiers.
//
// All functions are pure: they leave the records that they are given unchanged and may be called from any goroutine.
// Times are Unix milliseconds by the clock of the store that applies the operation.
//
// # States of a request, under its request id in the program's record
//
//	state     entered by                                           left by
//	unknown   -                                                    ReserveTurn, ReleaseTurn, RefuseRequest
//	reserved  ReserveTurn; its reservation limit is set aside      SettleTurn, ReleaseTurn, ClaimSession
//	settled   SettleTurn commits the turn and charges its tokens   end of its retention
//	charged   ReleaseTurn of a turn that ran, ClaimSession         end of its retention
//	          of a turn whose owner was lost (the whole limit)
//	not run   ReleaseTurn of a turn that did not run,              end of its retention
//	          RefuseRequest (the tombstone)
//
// # States of a call that may not be repeated
//
//	state    entered by                          left by
//	none     -                                   BeginCall, RefuseCall
//	intent   BeginCall; one attempt may issue    FinishCall, RefuseCall of the same attempt
//	done     FinishCall, with the outcome        end of its retention
//	not run  RefuseCall (the tombstone)          end of its retention
//
// The epoch of a session is its fencing token: ClaimSession raises it, and operations under a lower one are rejected.
//
// Source: docs/LEDGER.md, which gives the reasons.
package ledger
