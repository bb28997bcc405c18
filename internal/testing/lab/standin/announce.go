package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Announcement is the body of a heartbeat.
type Announcement struct {
	ID          string   `json:"id"`
	Kind        string   `json:"kind"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Group       string   `json:"group"`
	Models      []string `json:"models"`
	Tools       []string `json:"tools"`
	Incarnation uint64   `json:"incarnation"`
	Capacity    uint32   `json:"capacity"`
	State       string   `json:"state"`
}

// Kinds and states of a back end in heartbeats.
const (
	KindModelServer = "MODEL_SERVER"
	KindToolServer  = "TOOL_SERVER"
	StateReady      = "READY"
	StateDraining   = "DRAINING"
)

const (
	heartbeatTimeout = 2 * time.Second
	drainTimeout     = 15 * time.Second
	drainAttempts    = 5
	answerLimit      = 1 << 16
)

// Announcer sends heartbeats and drain requests to any of the front nodes.
type Announcer struct {
	fronts []string
	client *http.Client
	next   int
}

// NewAnnouncer knows the HTTP addresses (ip:port) of the front nodes.
func NewAnnouncer(fronts []string, client *http.Client) *Announcer {
	return &Announcer{fronts: fronts, client: client}
}

// AnnounceError says that no front node took a heartbeat or a drain.
type AnnounceError struct {
	Front  string
	Status int
	Body   string
}

// Error implements error.
func (e *AnnounceError) Error() string {
	return fmt.Sprintf("front node %s answered %d: %s", e.Front, e.Status, e.Body)
}

// Heartbeat sends one heartbeat, trying each front node once, beginning with
// the one that answered last. It returns the requested interval.
func (a *Announcer) Heartbeat(ctx context.Context, body Announcement) (time.Duration, error) {
	var failed error
	for range a.fronts {
		front := a.fronts[a.next%len(a.fronts)]
		var answer struct {
			IntervalSeconds float64 `json:"interval_seconds"`
		}
		err := a.post(ctx, front, "/v1/backends/heartbeat", heartbeatTimeout, body, &answer)
		if err == nil {
			return time.Duration(answer.IntervalSeconds * float64(time.Second)), nil
		}
		failed = errors.CombineErrors(err, failed)
		a.next++
	}
	return 0, errors.Wrap(failed, "heartbeat")
}

// Drain sends the drain request to front nodes in turn until one acknowledges it.
func (a *Announcer) Drain(ctx context.Context, id string, incarnation uint64) error {
	body := struct {
		Incarnation uint64 `json:"incarnation"`
	}{incarnation}
	var failed error
	for try := range drainAttempts {
		front := a.fronts[(a.next+try)%len(a.fronts)]
		err := a.post(ctx, front, "/v1/backends/"+id+"/drain", drainTimeout, body, &struct{}{})
		if err == nil {
			return nil
		}
		failed = errors.CombineErrors(err, failed)
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Wrap(failed, "drain")
}

func (a *Announcer) post(ctx context.Context, front, path string, timeout time.Duration, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode/100 != 2 {
		return &AnnounceError{Front: front, Status: response.StatusCode, Body: string(text)}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, answer), "decode answer")
}
