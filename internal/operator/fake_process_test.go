package operator_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// receivedRequest is one request as a fake process received it.
type receivedRequest struct {
	method, path, order, authorization, body string
}

// fakeProcess is a core process or front node that answers from a script.
type fakeProcess struct {
	server  *httptest.Server
	address string

	mutex    sync.Mutex
	requests []receivedRequest
	answer   func(writer http.ResponseWriter, request *http.Request, body string)
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
	f.answer(writer, request, string(body))
}

func (f *fakeProcess) received() []receivedRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]receivedRequest(nil), f.requests...)
}

// always answers every request in the same way.
func (f *fakeProcess) always(status int, body string) {
	f.answer = func(writer http.ResponseWriter, _ *http.Request, _ string) {
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body)
	}
}

// sendTo answers every request but those for the core's members with a redirect.
func (f *fakeProcess) sendTo(other string, members ...string) {
	f.answer = func(writer http.ResponseWriter, request *http.Request, _ string) {
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

// loseAnswer ends the connection without an answer.
func loseAnswer(writer http.ResponseWriter) {
	connection, _, err := writer.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

// rejectionBody is the body of a failure whose request was not run.
func rejectionBody(code string) string {
	return fmt.Sprintf(`{"error":{"code":%q,"message":"because","outcome":"not_run"}}`, code)
}
