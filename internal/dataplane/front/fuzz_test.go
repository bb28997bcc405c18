package front_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

// fuzzEngine serves a front node that owns nothing: whatever passes validation is rejected as not owned.
func fuzzEngine(f *testing.F) *gin.Engine {
	r := newRig()
	link := &fakeLink{view: r.view, core: func(*protocol.Request) (*protocol.Response, error) {
		return nil, failure.New(failure.NoLeader, protocol.Outcome_NOT_RUN, "none")
	}}
	ownership := &fakeOwnership{self: "f1", beginError: failure.New(failure.SessionBusy, protocol.Outcome_NOT_RUN, "busy")}
	service := front.New(front.Options{
		Self: &protocol.Node{Name: "f1"}, Link: link, Ledger: r.ledger, Ownership: ownership,
		Caller: r.network, Logger: log.New(io.Discard),
	})
	f.Cleanup(func() { _ = service.Stop(f.Context()) })
	link.put(&corelink.View{Configuration: r.view.Configuration, Membership: r.view.Membership, BackEnds: r.view.BackEnds})
	engine := gin.New()
	service.Register(engine, 1<<16)
	return engine
}

func FuzzBodies(f *testing.F) {
	f.Add("/v1/responses", turnBody("s1", ""))
	f.Add("/v1/responses",
		`{"model":"climate-advisor","program":"p","input":[{"role":"user","content":"x"}],"stream":true}`)
	f.Add("/v1/tools/valve-plan/calls", `{"program":"p","arguments":{"a":[1,null]}}`)
	f.Add("/v1/backends/m/drain", `{"incarnation":-1}`)
	f.Add("/v1/responses", `{"model":{},"input":`)
	engine := fuzzEngine(f)
	f.Fuzz(func(t *testing.T, path, body string) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \x00\r\n%?#") || path == "/v1/backends/heartbeat" {
			return
		}
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://front/", strings.NewReader(body))
		request.URL.Path = path
		request.Header.Set("Rosestand-Tenant", tenant)
		request.Header.Set("Idempotency-Key", "k")
		recorder := httptest.NewRecorder()
		engine.ServeHTTP(recorder, request)
		if recorder.Code == http.StatusNotFound && recorder.Header().Get("Content-Type") != "application/json" {
			return
		}
		var answer struct {
			Error struct{ Code, Outcome string }
		}
		if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil {
			t.Fatalf("status %d without a typed body: %q", recorder.Code, recorder.Body)
		}
		if recorder.Code < 400 || answer.Error.Code == "" || answer.Error.Outcome == "" ||
			answer.Error.Code == "internal_error" {
			t.Fatalf("status %d, body %q", recorder.Code, recorder.Body)
		}
	})
}
