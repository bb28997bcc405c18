package toolserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/testing/lab/standin"
	"github.com/rosestand/rosestand/internal/testing/lab/toolserver"
)

type harness struct {
	journal bytes.Buffer
	faults  *standin.FaultSwitch
	server  *toolserver.Server
	router  *gin.Engine
}

func newHarness(t *testing.T) *harness {
	gin.SetMode(gin.ReleaseMode)
	h := &harness{faults: standin.NewFaultSwitch(standin.FaultPlan{LateMillis: 1, StallMillis: 1}), router: gin.New()}
	journal := standin.NewJournal("tool-1", 1, &h.journal, time.Now)
	h.server = toolserver.New(toolserver.Settings{Tools: []string{"check-in"}, WorkMicros: 1}, journal, h.faults)
	h.server.Routes(h.router)
	t.Cleanup(h.server.Close)
	return h
}

// call makes one call; closed is true when the connection was closed without an answer.
func (h *harness) call(id, epoch string) (response *httptest.ResponseRecorder, closed bool) {
	response = httptest.NewRecorder()
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/v1/tools/check-in/calls",
		strings.NewReader(`{"object":"seat-4"}`))
	request.Header.Set(standin.HeaderIdempotencyKey, id)
	request.Header.Set(standin.HeaderSession, "s1")
	request.Header.Set(standin.HeaderEpoch, epoch)
	request.Header.Set(standin.HeaderNonce, "n1")
	defer func() { closed = recover() != nil }()
	h.router.ServeHTTP(response, request)
	return response, false
}

func (h *harness) runs(t *testing.T, id string) int {
	entries, err := standin.ParseJournal(h.journal.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	runs := 0
	for _, entry := range entries {
		if entry.RequestID == id && entry.Phase == standin.PhaseStarted {
			runs++
		}
	}
	return runs
}

func TestCallAnswersWithItsObjectAndNonce(t *testing.T) {
	h := newHarness(t)
	response, _ := h.call("r1", "1")
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var result toolserver.Result
	if err := json.Unmarshal(content, &result); err != nil {
		t.Fatal(err)
	}
	if result.Object != "seat-4" || result.Nonce != "n1" || result.Tool != "check-in" {
		t.Fatalf("answered %+v", result)
	}
}

func TestSecondRunIsRecorded(t *testing.T) {
	h := newHarness(t)
	h.call("r1", "1")
	h.call("r1", "1")
	if runs := h.runs(t, "r1"); runs != 2 {
		t.Fatalf("%d runs in the journal, want 2", runs)
	}
}

func TestOlderOwnerIsFenced(t *testing.T) {
	h := newHarness(t)
	h.call("r1", "2")
	response, _ := h.call("r2", "1")
	if response.Code != http.StatusConflict || h.runs(t, "r2") != 0 {
		t.Fatalf("status %d, %d runs", response.Code, h.runs(t, "r2"))
	}
}

func TestFaultsOfCalls(t *testing.T) {
	for fault, want := range map[standin.Fault]struct {
		runs   int
		closed bool
	}{
		standin.FaultDieBefore:  {0, true},
		standin.FaultReject:     {0, false},
		standin.FaultDieDuring:  {1, true},
		standin.FaultDieAfter:   {1, true},
		standin.FaultLoseAnswer: {1, true},
		standin.FaultStall:      {1, true},
		standin.FaultLate:       {1, false},
		standin.FaultGarbage:    {1, false},
	} {
		h := newHarness(t)
		if err := h.faults.Replace(standin.FaultPlan{
			LateMillis: 1, StallMillis: 1,
			Requests: map[string]standin.Fault{"r1": fault},
		}); err != nil {
			t.Fatal(err)
		}
		_, closed := h.call("r1", "1")
		if runs := h.runs(t, "r1"); runs != want.runs || closed != want.closed {
			t.Errorf("%s: %d runs, closed %v; want %d, %v", fault, runs, closed, want.runs, want.closed)
		}
	}
}
