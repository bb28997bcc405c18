package httpdrain

import (
	"net/http"
	"sync/atomic"
)

// closingHandler makes answers that begin while draining is set the last ones of their connections.
func closingHandler(handler http.Handler, draining *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&closingWriter{ResponseWriter: writer, draining: draining}, request)
	})
}

// closingWriter writes an answer, with Connection: close in its header if the server drains by then. It belongs to
// the handler's goroutine.
type closingWriter struct {
	http.ResponseWriter
	draining      *atomic.Bool
	headerWritten bool
}

// Unwrap gives an http.ResponseController access to the wrapped writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.setConnectionClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(content []byte) (int, error) {
	w.setConnectionClose()
	return w.ResponseWriter.Write(content)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() { _ = w.FlushError() }

// FlushError sends what was written, and the header if it was not sent.
func (w *closingWriter) FlushError() error {
	w.setConnectionClose()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *closingWriter) setConnectionClose() {
	if !w.headerWritten && w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.headerWritten = true
}
