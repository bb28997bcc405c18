// Package httpheader tells the headers of HTTP messages that are forwarded end
// to end from those that concern one connection only (RFC 9110, section 7.6.1).
// Its functions hold no state.
package httpheader
