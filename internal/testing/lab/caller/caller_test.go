package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "emulated callers")
}

func TestPlansFollowTheirSeed(t *testing.T) {
	plan := func(seed uint64) []caller.Arrival {
		arrivals, err := caller.Plan(site.Both, caller.DefaultLoad(), caller.DefaultShape(), 2*time.Minute, 4, seed, "run")
		if err != nil {
			t.Fatal(err)
		}
		return arrivals
	}
	first := plan(1)
	if !reflect.DeepEqual(first, plan(1)) {
		t.Fatal("one seed produces two plans")
	}
	if reflect.DeepEqual(first, plan(2)) {
		t.Fatal("two seeds produce one plan")
	}
}

func TestPlansHaveTheMixOfTheSites(t *testing.T) {
	for name, turns := range map[site.Name]float64{site.Caroni: 7, site.Menon: 11} {
		arrivals, err := caller.Plan(name, caller.Load{ConversationsPerSecond: 100}, caller.DefaultShape(), time.Minute, 4, 3,
			"run")
		if err != nil {
			t.Fatal(err)
		}
		long, longTurns, programs := 0, 0, map[string]bool{}
		for _, arrival := range arrivals {
			programs[arrival.Conversation.Program] = true
			if !arrival.Conversation.Long {
				continue
			}
			long++
			for _, step := range arrival.Conversation.Steps {
				if step.Input != "" {
					longTurns++
				}
			}
		}
		if share := float64(long) / float64(len(arrivals)); share < 0.18 || share > 0.22 {
			t.Errorf("%s: %.3f of conversations are long, want one in five", name, share)
		}
		if mean := float64(longTurns) / float64(long); mean < turns-0.3 || mean > turns+0.3 {
			t.Errorf("%s: long conversations have %.1f turns, want about %.0f", name, mean, turns)
		}
		if len(programs) != len(arrivals) || len(arrivals) < 5500 {
			t.Errorf("%s: %d programs in %d conversations", name, len(programs), len(arrivals))
		}
	}
}

func TestUnknownSiteIsRejected(t *testing.T) {
	if _, err := caller.Plan("atlantis", caller.DefaultLoad(), caller.DefaultShape(), time.Second, 1, 1, ""); err == nil {
		t.Fatal("planned")
	}
}

// front answers turns by a script of its own, one entry for each exchange of a request.
type front struct {
	mutex  sync.Mutex
	script func(exchange int, w http.ResponseWriter, r *http.Request, event func(kind, fields string))
	seen   []*http.Request
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		return
	}
	f.mutex.Lock()
	f.seen = append(f.seen, r)
	exchange := len(f.seen)
	f.mutex.Unlock()
	f.script(exchange, w, r, func(kind, fields string) {
		fmt.Fprintf(w, "data: {\"type\":%q,%s}\n\n", kind, fields)
		w.(http.Flusher).Flush()
	})
}

func refuse(w http.ResponseWriter, status int, code, outcome string) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{
		"code": code, "outcome": outcome,
		"retry_after_millis": 1,
	}})
}

func complete(event func(kind, fields string), sequence int, text string) {
	event(caller.EventCompleted, fmt.Sprintf(`"sequence_number":%d,"attempt":1,"response":{"id":"turn_1",`+
		`"output":[{"content":[{"text":%q}]}],"rosestand":{"nonce":"n","owner":"front-1","bundle_version":3}}`, sequence,
		text))
}

// options plan one conversation of one turn.
func options(address string) caller.Options {
	shape := caller.DefaultShape()
	shape.LongShare, shape.ReadShare = 0, 0
	o := caller.Options{
		Fronts: []caller.Front{{Address: address}}, Site: site.Caroni,
		Load:  caller.Load{ConversationsPerSecond: 100, MaxConversations: 1},
		Shape: shape, Duration: 20 * time.Millisecond, Grace: 10 * time.Second, Zones: 1,
	}
	for ; ; o.Seed++ {
		arrivals, err := caller.Plan(o.Site, o.Load, o.Shape, o.Duration, o.Zones, o.Seed, o.Run)
		Expect(err).NotTo(HaveOccurred())
		if len(arrivals) == 1 && len(arrivals[0].Conversation.Steps) == 1 {
			return o
		}
	}
}

var _ = Describe("a caller", func() {
	var served *front
	// converse runs one short conversation against the scripted front node.
	converse := func() *caller.RequestLog {
		web := httptest.NewServer(served)
		defer web.Close()
		requestLog, err := caller.Run(context.Background(), options(strings.TrimPrefix(web.URL, "http://")))
		Expect(err).NotTo(HaveOccurred())
		return requestLog
	}
	BeforeEach(func() {
		served = &front{}
		present := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(goleak.Find).WithArguments(present).Should(Succeed()) })
	})

	It("records the outcome of an answered turn", func() {
		served.script = func(_ int, _ http.ResponseWriter, _ *http.Request, event func(kind, fields string)) {
			event(caller.EventCreated, `"sequence_number":1,"attempt":1,"response":{"id":"turn_1"}`)
			event(caller.EventDelta, `"sequence_number":2,"attempt":1,"delta":"hi","tokens":1`)
			complete(event, 3, "hi")
		}
		record := converse().Records[0]
		Expect(record.Outcome).To(Equal(caller.OutcomeAnswered))
		Expect([]any{
			record.TurnID, record.Text, record.AnswerNonce,
			record.BundleVersion,
		}).To(Equal([]any{"turn_1", "hi", "n", uint64(3)}))
		Expect(record.Exchanges).To(HaveLen(1))
		Expect(record.Exchanges[0].Events).To(HaveLen(3))
	})

	It("resumes a broken stream after the last event received", func() {
		served.script = func(exchange int, _ http.ResponseWriter, r *http.Request, event func(kind, fields string)) {
			if exchange == 1 {
				event(caller.EventCreated, `"sequence_number":1,"attempt":1,"response":{"id":"turn_1"}`)
				event(caller.EventDelta, `"sequence_number":2,"attempt":1,"delta":"a","tokens":1`)
				panic(http.ErrAbortHandler)
			}
			Expect(r.URL.Path).To(Equal("/v1/responses/turn_1"))
			Expect(r.URL.Query().Get("starting_after")).To(Equal("1-2"))
			complete(event, 3, "a")
		}
		record := converse().Records[0]
		Expect(record.Outcome).To(Equal(caller.OutcomeAnswered))
		Expect(record.Exchanges).To(HaveLen(2))
		Expect(record.Exchanges[0].Outcome).To(Equal(caller.OutcomeNone))
		Expect(record.Exchanges[1].Resumed).To(BeTrue())
		Expect(record.Exchanges[1].AfterSequence).To(Equal(uint64(2)))
	})

	It("retries a request without an answer under the same id", func() {
		served.script = func(exchange int, _ http.ResponseWriter, _ *http.Request, event func(kind, fields string)) {
			if exchange == 1 {
				panic(http.ErrAbortHandler)
			}
			complete(event, 1, "")
		}
		record := converse().Records[0]
		Expect(record.Exchanges).To(HaveLen(2))
		Expect(record.Exchanges[1].Repeated).To(BeTrue())
		Expect(served.seen[0].Header.Get("Idempotency-Key")).To(Equal(served.seen[1].Header.Get("Idempotency-Key")))
	})

	It("retries a turn that was lost with its owner", func() {
		served.script = func(exchange int, w http.ResponseWriter, _ *http.Request, event func(kind, fields string)) {
			switch exchange {
			case 1:
				event(caller.EventCreated, `"sequence_number":1,"attempt":1,"response":{"id":"turn_1"}`)
				panic(http.ErrAbortHandler)
			case 2:
				refuse(w, http.StatusNotFound, "turn_missing", caller.OutcomeNotRun)
			default:
				complete(event, 1, "")
			}
		}
		records := converse().Records
		Expect(records[0].Outcome).To(Equal(caller.OutcomeUnknown))
		Expect(records[1].Outcome).To(Equal(caller.OutcomeAnswered))
		Expect(records[0].RequestID).NotTo(Equal(records[1].RequestID))
	})

	It("retries under another id after a rejection", func() {
		served.script = func(exchange int, w http.ResponseWriter, _ *http.Request, event func(kind, fields string)) {
			if exchange == 1 {
				refuse(w, http.StatusServiceUnavailable, "overloaded", caller.OutcomeNotRun)
				return
			}
			complete(event, 1, "")
		}
		records := converse().Records
		Expect(records[0].Outcome).To(Equal(caller.OutcomeNotRun))
		Expect(records[1].Outcome).To(Equal(caller.OutcomeAnswered))
		Expect(records[0].RequestID).NotTo(Equal(records[1].RequestID))
	})

	It("does not retry when the budget is spent", func() {
		served.script = func(_ int, w http.ResponseWriter, _ *http.Request, _ func(kind, fields string)) {
			refuse(w, http.StatusPaymentRequired, "budget_spent", caller.OutcomeNotRun)
		}
		Expect(converse().Records).To(HaveLen(1))
	})
})
