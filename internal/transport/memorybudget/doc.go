// Package memorybudget accounts for the memory that the requests of a process hold together.
//
// A process has one Budget. Whatever holds memory on behalf of somebody outside (a connection whose request arrives, a
// large frame, a conversation) has an Account in it, and grows the account before it allocates. The invariant is that
// the sum of all accounts never exceeds the limit of the budget, and that of large accounts never exceeds the limit
// without the part that is reserved for small ones: whatever large requests do, ordinary ones find memory.
//
// Accounts that have to wait are served in the order of arrival. While one waits, accounts that have made no progress
// for some time are evicted if they can be, the one with the oldest progress first: a client that stops in the middle
// of a request holds memory only as long as nobody else needs it.
//
// A Budget and its accounts are safe for concurrent use.
package memorybudget
