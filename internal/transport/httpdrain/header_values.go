//go:build !go1.27

package httpdrain

import "net/http"

// AllowHeaderValues does nothing: before Go 1.27 the number of header values has no limit but the size of the head.
func AllowHeaderValues(*http.Server) {}
