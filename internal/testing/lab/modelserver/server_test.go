package modelserver_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/modeltoken"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

func TestModelServer(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "emulated model server")
}

// lines is a journal's writer for tests.
type lines struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.buffer.Write(p)
}

func (l *lines) entries() []standin.Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entries, err := standin.ParseJournal(l.buffer.Bytes())
	Expect(err).NotTo(HaveOccurred())
	return entries
}

// answer is the response to one completion request.
type answer struct {
	status int
	retry  string
	text   string
	cached int
	nonce  string
	done   bool
	broken bool
}

var _ = Describe("a model server", func() {
	var journal *lines
	var faults *standin.FaultSwitch
	var server *modelserver.Server
	var web *httptest.Server

	BeforeEach(func() {
		present := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(goleak.Find).WithArguments(present).Should(Succeed()) })
		gin.SetMode(gin.ReleaseMode)
		journal = &lines{}
		faults = standin.NewFaultSwitch(standin.FaultPlan{LateMillis: 1, StallMillis: 1})
		rates := modelserver.Rates{PrefillTokensPerSecond: 1e6, StepMicros: 50, SequenceMicros: 1}
		server = modelserver.New(rates, standin.NewJournal("model-1", 1, journal, time.Now), faults)
		router := gin.New()
		server.Routes(router)
		web = httptest.NewUnstartedServer(router)
		web.Config.ErrorLog = nil
		web.Start()
	})
	AfterEach(func() {
		web.Close()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
	})

	complete := func(id string, epoch int, content string) answer {
		body, err := json.Marshal(map[string]any{
			"model": "m", "stream": true, "max_tokens": 8,
			"messages": []modelserver.Message{{Role: "user", Content: content}},
		})
		Expect(err).NotTo(HaveOccurred())
		request, err := http.NewRequest(http.MethodPost, web.URL+"/v1/chat/completions", bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(standin.HeaderRequestID, id)
		request.Header.Set(standin.HeaderSession, "s1")
		request.Header.Set(standin.HeaderEpoch, strconv.Itoa(epoch))
		request.Header.Set(standin.HeaderNonce, "n1")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return answer{broken: true}
		}
		defer response.Body.Close()
		return read(response)
	}

	It("answers with numbered tokens, usage, the nonce and the end", func() {
		got := complete("r1", 1, "hello reply:5")
		tokens, whole := modeltoken.ParseText(got.text)
		Expect(whole).To(BeTrue())
		Expect(tokens).To(HaveLen(5))
		for i, token := range tokens {
			Expect(token.Index).To(Equal(i))
			Expect(token.Nonce).To(Equal("n1"))
		}
		Expect(got.nonce).To(Equal("n1"))
		Expect(got.done).To(BeTrue())
		Expect(server.Load().Running).To(BeZero())
		Expect(server.Load().KVBlocksUsed).To(BeZero())
		Expect(journal.entries()).To(HaveLen(2))
		Expect(journal.entries()[1].Tokens).To(Equal(5))
	})

	It("serves the same prefix from the cache", func() {
		long := strings.Repeat("word ", 64)
		Expect(complete("r1", 1, long+"reply:1").cached).To(BeZero())
		Expect(complete("r2", 1, long+"more reply:1").cached).To(Equal(64))
	})

	It("rejects an older owner of the session and runs nothing", func() {
		Expect(complete("r1", 2, "reply:1").status).To(Equal(http.StatusOK))
		Expect(complete("r2", 1, "reply:1").status).To(Equal(http.StatusConflict))
		Expect(journal.entries()[2].Phase).To(Equal(standin.PhaseRejected))
		Expect(journal.entries()[2].Reason).To(Equal("fenced"))
	})

	DescribeTable("injects the planned fault into one run of one request",
		func(fault standin.Fault, runs, tokens int, done, broken bool) {
			Expect(faults.Replace(standin.FaultPlan{
				LateMillis: 1, StallMillis: 1, Requests: map[string]standin.Fault{"r1": fault},
			})).To(Succeed())
			got := complete("r1", 1, "reply:8")
			received, _ := modeltoken.ParseText(got.text)
			Expect(received).To(HaveLen(tokens))
			Expect(got.done).To(Equal(done))
			Expect(got.broken).To(Equal(broken))
			started := 0
			Eventually(journal.entries).Should(HaveLen(max(1, 2*runs)))
			for _, entry := range journal.entries() {
				Expect(entry.Fault).To(Equal(fault))
				if entry.Phase == standin.PhaseStarted {
					started++
				}
			}
			Expect(started).To(Equal(runs))
			Expect(complete("r1", 1, "reply:8").done).To(BeTrue())
		},
		Entry("dies before", standin.FaultDieBefore, 0, 0, false, true),
		Entry("dies during", standin.FaultDieDuring, 1, 4, false, true),
		Entry("dies after", standin.FaultDieAfter, 1, 8, false, true),
		Entry("loses the answer", standin.FaultLoseAnswer, 1, 0, false, true),
		Entry("answers late", standin.FaultLate, 1, 8, true, false),
		Entry("stalls", standin.FaultStall, 1, 4, false, true),
		Entry("rejects", standin.FaultReject, 0, 0, false, false),
		Entry("sends garbage", standin.FaultGarbage, 1, 4, false, true),
	)

	It("sets Retry-After when it rejects", func() {
		Expect(faults.Replace(standin.FaultPlan{
			RetryAfterSeconds: 7, Requests: map[string]standin.Fault{"r1": standin.FaultReject},
		})).To(Succeed())
		got := complete("r1", 1, "reply:1")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.retry).To(Equal("7"))
	})
})

func read(response *http.Response) answer {
	got := answer{status: response.StatusCode, retry: response.Header.Get("Retry-After")}
	if response.StatusCode != http.StatusOK {
		return got
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			got.done = true
			break
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Nonce   string
			Usage   struct {
				PromptTokensDetails struct {
					CachedTokens int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			got.broken = true
			return got
		}
		for _, choice := range chunk.Choices {
			got.text += choice.Delta.Content
		}
		if chunk.Nonce != "" {
			got.nonce = chunk.Nonce
			got.cached = chunk.Usage.PromptTokensDetails.CachedTokens
		}
	}
	got.broken = scanner.Err() != nil
	return got
}
