// Package httpguard protects an HTTP server from clients that don't behave: from heads and bodies whose memory nobody
// has accounted for, from clients that stop in the middle of a request, and from more connections than the process has
// descriptors for.
//
// A Listener wraps the connections that it accepts. Each connection has an account in the memory budget of its process.
// The bytes and lines of a head are added to the account as they arrive, before they are parsed; a Body does the same
// with the bytes of a body. The account is released once the request is answered. A request that finds no memory is
// refused with a status that promises that it was not run.
//
// The limits are read anew for each request, so that a change is in force at once on open connections. A deadline that
// passed while the process was frozen does not refuse bytes that had arrived by then.
package httpguard
