package httpdrain

import (
	"net/http"
	"sync/atomic"
)

// closingHandler makes each answer whose header is written while draining is set the last one of its connection.
func closingHandler(handler http.Handler, draining *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&closingWriter{ResponseWriter: writer, draining: draining}, request)
	})
}

// closingWriter writes an answer, with Connection: close in its header if the server is draining when the header is
// written. It is used only by the handler's goroutine.
type closingWriter struct {
	http.ResponseWriter
	draining      *atomic.Bool
	headerWritten bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
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

// FlushError sends the buffered content, and the header if it was not sent.
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
