package front

import (
	"net/http"
	"sync/atomic"
)

// closingWriter writes an answer, with Connection: close in its head when the front node drains by then.
type closingWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
	headSent bool
}

// Unwrap lets a http.ResponseController reach the writer below.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.closeWhenDraining()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(content []byte) (int, error) {
	w.closeWhenDraining()
	return w.ResponseWriter.Write(content)
}

// FlushError sends what was written, and the head if it was not sent.
func (w *closingWriter) FlushError() error {
	w.closeWhenDraining()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *closingWriter) closeWhenDraining() {
	if !w.headSent && w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.headSent = true
}
