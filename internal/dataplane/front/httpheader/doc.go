// Package httpheader separates the end-to-end headers of HTTP messages, which are
// forwarded, from the hop-by-hop headers, which concern one connection only (RFC
// 9110, section 7.6.1).
package httpheader
