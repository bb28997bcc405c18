// Package serverconn is an HTTP/1.1 client for the servers of HTTP routes with a
// pool of idle connections. It exists beside net/http's own transport because
// a request that must not run twice needs to know whether any of its bytes
// left this process, and because a connection must be proved idle and without unread
// bytes before such a request is sent on it. Answers are parsed by net/http.
//
// A Pool is safe for concurrent use. A Response belongs to one goroutine; a large request
// is written by a goroutine of its own, which ends when the connection closes.
package serverconn
