package operator_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// receivedRequest records one request to a fake process.
type receivedRequest struct {
	method, path, order, authorization, body string
}

// fakeProcess is an HTTP server that stands in for a core process or front node and records its requests.
type fakeProcess struct {
	server  *httptest.Server
	address string

	mutex    sync.Mutex
	requests []receivedRequest
	respond  func(writer http.ResponseWriter, request *http.Request, body string)
}

func newFakeProcess() *fakeProcess {
	fake := &fakeProcess{}
	fake.server = httptest.NewServer(http.HandlerFunc(fake.serve))
	fake.address = strings.TrimPrefix(fake.server.URL, "http://")
	return fake
}

func (f *fakeProcess) serve(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	f.mutex.Lock()
	f.requests = append(f.requests, receivedRequest{
		method: request.Method, path: request.URL.RequestURI(), order: request.Header.Get("Rosestand-Order"),
		authorization: request.Header.Get("Authorization"), body: string(body),
	})
	f.mutex.Unlock()
	f.respond(writer, request, string(body))
}

func (f *fakeProcess) received() []receivedRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]receivedRequest(nil), f.requests...)
}

// respondAlways sends the same response to every request.
func (f *fakeProcess) respondAlways(status int, body string) {
	f.respond = func(writer http.ResponseWriter, _ *http.Request, _ string) {
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// redirectTo redirects every request except those for the core's status, which lists the members.
func (f *fakeProcess) redirectTo(other string, members ...string) {
	f.respond = func(writer http.ResponseWriter, request *http.Request, _ string) {
		if request.URL.Path == "/v1/core" {
			listed := make([]string, len(members))
			for i, member := range members {
				listed[i] = fmt.Sprintf(`{"id":"%d","http_address":%q}`, i+1, member)
			}
			_, _ = fmt.Fprintf(writer, `{"configuration":{"members":[%s]}}`, strings.Join(listed, ","))
			return
		}
		writer.Header().Set("Location", "http://"+other+request.URL.RequestURI())
		writer.WriteHeader(http.StatusTemporaryRedirect)
	}
}

// dropConnection closes the connection without a response.
func dropConnection(writer http.ResponseWriter) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// rejectionBody returns the body of a failure whose request was not run.
func rejectionBody(code string) string {
	return fmt.Sprintf(`{"error":{"code":%q,"message":"because","outcome":"not_run"}}`, code)
}
