//go:build go1.27

package httpdrain

import "net/http"

// AllowHeaderValues lets a request have as many header values as fit into the size of its head. By default Go 1.27
// rejects more than 500, which a legal head of short lines can have.
func AllowHeaderValues(server *http.Server) {
	server.MaxHeaderValueCount = max(server.MaxHeaderBytes, http.DefaultMaxHeaderBytes)
}
