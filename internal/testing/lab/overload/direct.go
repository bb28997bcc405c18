package overload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// Direct measures answers a second of the model servers themselves, each with
// as many calls under way as it works on at once.
func (t Target) Direct(ctx context.Context, servers []string, batch int, length time.Duration) Loop {
	return ClosedLoop(ctx, batch*len(servers), length, func(ctx context.Context, worker, round int) bool {
		id := fmt.Sprintf("%s-direct-%d-%d", t.Run, worker, round)
		return t.callServer(ctx, servers[worker%len(servers)], id)
	})
}

func (t Target) callServer(ctx context.Context, server, id string) bool {
	body, err := json.Marshal(map[string]any{
		"model": t.Model, "stream": true, "max_tokens": AnswerTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt(id)}},
	})
	if err != nil {
		return false
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return false
	}
	for _, name := range []string{standin.HeaderRequestID, standin.HeaderSession, standin.HeaderNonce} {
		call.Header.Set(name, id)
	}
	answer, err := t.Client.HTTP.Do(call)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK && bytes.Contains(content, []byte("[DONE]"))
}
