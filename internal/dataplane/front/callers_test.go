package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/gomega"
)

// modelAnswer streams words as an OpenAI-compatible server does.
func modelAnswer(words ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writeWords(writer, words...)
		finishAnswer(writer, request, len(words))
	}
}

func writeWords(writer http.ResponseWriter, words ...string) {
	for _, word := range words {
		chunk, _ := json.Marshal(map[string]any{"choices": []any{map[string]any{"delta": map[string]any{"content": word}}}})
		fmt.Fprintf(writer, "data: %s\n\n", chunk)
		writer.(http.Flusher).Flush()
	}
}

func finishAnswer(writer http.ResponseWriter, request *http.Request, count int) {
	usage := map[string]any{
		"prompt_tokens": 7, "completion_tokens": count, "prompt_tokens_details": map[string]any{"cached_tokens": 3},
	}
	chunk, _ := json.Marshal(map[string]any{
		"choices": []any{}, "usage": usage,
		"nonce": request.Header.Get("Rosestand-Nonce"),
	})
	fmt.Fprintf(writer, "data: %s\n\ndata: [DONE]\n\n", chunk)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   map[string]any
	text   string
}

func (a answer) errorCode() string     { return field(a.body, "error", "code") }
func (a answer) outcome() string       { return field(a.body, "error", "outcome") }
func (a answer) at(p ...string) string { return field(a.body, p...) }

func field(value any, path ...string) string {
	for _, name := range path {
		object, isObject := value.(map[string]any)
		if !isObject {
			return ""
		}
		value = object[name]
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

type headers map[string]string

func (n *node) do(method, path, body string, set headers) answer {
	response := n.open(context.Background(), method, path, body, set)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	got := answer{status: response.StatusCode, header: response.Header, text: string(text)}
	_ = json.Unmarshal(text, &got.body)
	return got
}

func (n *node) open(ctx context.Context, method, path, body string, set headers) *http.Response {
	request, err := http.NewRequestWithContext(ctx, method, n.server.URL+path, bytes.NewReader([]byte(body)))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Rosestand-Tenant", tenant)
	for name, value := range set {
		request.Header.Set(name, value)
	}
	response, err := n.server.Client().Do(request)
	Expect(err).NotTo(HaveOccurred())
	return response
}

func (n *node) turn(body string, set headers) answer {
	return n.do(http.MethodPost, "/v1/responses", body, set)
}

func turnBody(conversation, rest string) string {
	return fmt.Sprintf(`{"model":%q,"program":"p1","conversation":%q,"input":"hello"%s}`, model, conversation, rest)
}

// sseEvent is one event of a stream.
type sseEvent struct {
	id   string
	kind string
	data map[string]any
}

// readEvents reads the events of a stream until it ends or count were read.
func readEvents(reader *bufio.Reader, count int) []sseEvent {
	var events []sseEvent
	var current sseEvent
	for len(events) < count {
		line, err := reader.ReadString('\n')
		if err != nil {
			return events
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch name {
		case "id":
			current.id = value
		case "event":
			current.kind = value
		case "data":
			Expect(json.Unmarshal([]byte(value), &current.data)).To(Succeed())
		case "":
			events = append(events, current)
			current = sseEvent{}
		}
	}
	return events
}

func ids(events []sseEvent) []string {
	var all []string
	for _, event := range events {
		all = append(all, event.id)
	}
	return all
}
