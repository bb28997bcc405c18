// Package ledgerops carries out what a front node needs of the program ledger:
// single operations within a time-out, conversations read back over pages and
// programs, the tombstones of rejected requests, and the end of reservations
// whose owners were lost. The ledger decides; this package keeps no state.
package ledgerops
