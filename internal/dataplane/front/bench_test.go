package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"golang.org/x/sys/unix"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

type wallClock struct{}

func (wallClock) Now() time.Time                            { return time.Now() }
func (wallClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }

func (wallClock) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, limit)
}

// BenchmarkTurns measures turns through one front node that owns all sessions,
// with a ledger in memory. Caller and model server run in the same process, so
// a turn's cost here includes theirs. The difference between two lengths is the
// most that a token may cost the front node.
func BenchmarkTurns(b *testing.B) {
	for _, tokens := range []int{20, 100, 200} {
		b.Run(fmt.Sprint(tokens, "tokens"), func(b *testing.B) { benchmarkTurns(b, tokens) })
	}
}

// processorTime is the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkTurns(b *testing.B, wordsPerTurn int) {
	gin.SetMode(gin.ReleaseMode)
	r := newRig()
	words := make([]string, wordsPerTurn)
	for at := range words {
		words[at] = "word "
	}
	model := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		modelAnswer(words...)(writer, request)
	}))
	defer model.Close()
	link := &fakeLink{view: &corelink.View{
		Configuration: r.view.Configuration, Membership: r.view.Membership,
		BackEnds: &protocol.BackEndView{Version: 2, BackEnds: []*protocol.BackEnd{{
			Id: "m1", Kind: modelServer, State: protocol.BackEndState_READY, Address: strings.TrimPrefix(model.URL, "http://"),
			Group: bundle.GroupAdvisors, Models: []string{bundle.ModelClimateAdvisor}, Incarnation: 1, Capacity: 1024,
		}}},
	}}
	service := front.New(front.Options{
		Self: &protocol.Node{Name: "f1"}, Link: link, Ledger: r.ledger, Caller: r.network, Clock: wallClock{},
		Ownership: &fakeOwnership{self: "f1", owners: map[string]string{}, forgotten: map[string]int{}, incarnation: 1},
		Logger:    log.New(io.Discard),
	})
	defer func() { _ = service.Stop(context.Background()) }()
	engine := gin.New()
	service.Register(engine, 1<<20)
	server := httptest.NewServer(engine)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	var program atomic.Uint64
	b.SetParallelism(16)
	used := processorTime(b)
	b.ResetTimer()
	b.RunParallel(func(each *testing.PB) {
		for each.Next() {
			body := fmt.Sprintf(`{"model":%q,"program":"p%d","input":"hello","stream":true}`, bundle.ModelClimateAdvisor,
				program.Add(1))
			request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, server.URL+"/v1/responses",
				strings.NewReader(body))
			if err != nil {
				b.Error(err)
				return
			}
			request.Header.Set("Rosestand-Tenant", tenant)
			response, err := client.Do(request)
			if err != nil {
				b.Error(err)
				return
			}
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if !strings.Contains(string(text), "response.completed") {
				b.Errorf("status %d: %s", response.StatusCode, text)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "turns/s")
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(b.N), "cpu-us/turn")
}
