package httpdrain

import (
	"net/http"
	"sync/atomic"
)

// closingHandler makes answers that begin once ending is set the last ones of their connections.
func closingHandler(handler http.Handler, ending *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&closingWriter{ResponseWriter: writer, ending: ending}, request)
	})
}

// closingWriter writes an answer, with Connection: close in its head when the server ends by then.
type closingWriter struct {
	http.ResponseWriter
	ending   *atomic.Bool
	headSent bool
}

// Unwrap lets a http.ResponseController reach the writer below.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.closeWhenEnding()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(content []byte) (int, error) {
	w.closeWhenEnding()
	return w.ResponseWriter.Write(content)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() { _ = w.FlushError() }

// FlushError sends what was written, and the head if it was not sent.
func (w *closingWriter) FlushError() error {
	w.closeWhenEnding()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *closingWriter) closeWhenEnding() {
	if !w.headSent && w.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	w.headSent = true
}
