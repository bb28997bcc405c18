// Package serverconn speaks HTTP/1.1 to the servers of HTTP routes over
// connections that it keeps. It exists beside net/http's own transport because
// a request that must not run twice needs to know whether any of its bytes
// left this process, and because a connection must be proved idle and unread
// before such a request rides on it. Formats are read by net/http.
package serverconn
