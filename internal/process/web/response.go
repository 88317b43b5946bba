package web

import "net/http"

// response adds to an answer whether its connection is closed after it, and counts
// refusals.
type response struct {
	http.ResponseWriter
	server     *server
	connection *connection
	// number is the position of the request on its connection.
	number  int64
	written bool
}

// WriteHeader writes the status of the answer.
func (w *response) WriteHeader(status int) {
	if !w.written && status >= http.StatusOK {
		w.written = true
		w.server.complete(w, status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (w *response) Write(b []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
