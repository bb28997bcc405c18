// Package ledgerops executes a front node's operations on the program ledger: single
// operations with a time-out, reads of conversations over several pages and
// programs, tombstones of rejected requests, and charging of reservations whose
// owners were lost. It keeps no state; the ledger is authoritative.
package ledgerops
