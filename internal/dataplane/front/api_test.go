package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

var _ = Describe("the HTTP surface", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
	})

	configure := func(change func(*protocol.Configuration)) {
		configuration := proto.CloneOf(r.view.Configuration)
		configuration.Version++
		change(configuration)
		r.put(&corelink.View{Configuration: configuration, Membership: r.view.Membership, BackEnds: r.view.BackEnds})
	}

	DescribeTable("rejects invalid input with the path of the field and runs nothing",
		func(body, code, path string) {
			got := f1.turn(body, nil)
			Expect(got.errorCode()).To(Equal(code), got.text)
			Expect(got.at("error", "path")).To(Equal(path))
			Expect(got.outcome()).To(Equal("not_run"))
			Expect(r.ledger.operationCounts).To(BeEmpty())
		},
		Entry("not JSON", `{"model"`, "invalid_body", ""),
		Entry("bytes after the JSON", `{"model":"m","program":"p","input":"x"} {}`, "invalid_body", ""),
		Entry("unknown field", `{"modell":"m"}`, "unknown_field", "modell"),
		Entry("unknown field of an item", `{"model":"m","program":"p","input":[{"role":"user","content":"x","colour":1}]}`,
			"unknown_field", "input[0].colour"),
		Entry("wrong type", `{"model":1}`, "invalid_field", "model"),
		Entry("no model", `{"program":"p","input":"x"}`, "missing_field", "model"),
		Entry("no program", `{"model":"m","input":"x"}`, "missing_field", "program"),
		Entry("no input", `{"model":"m","program":"p"}`, "missing_field", "input"),
		Entry("empty input", `{"model":"m","program":"p","input":[]}`, "missing_field", "input"),
		Entry("unknown role", `{"model":"m","program":"p","input":[{"role":"king","content":"x"}]}`, "invalid_field",
			"input[0].role"),
		Entry("unknown priority", `{"model":"m","program":"p","input":"x","priority":"now"}`, "invalid_field", "priority"),
		Entry("a timeout too long", `{"model":"m","program":"p","input":"x","timeout_millis":600001}`, "invalid_field",
			"timeout_millis"),
		Entry("a program too long", `{"model":"m","program":"`+strings.Repeat("p", 129)+`","input":"x"}`, "invalid_field",
			"program"),
		Entry("a reserved program name", `{"model":"m","program":"`+ledger.TrainingStepProgram("17")+`","input":"x"}`,
			"invalid_field", "program"),
		Entry("unknown model", `{"model":"m","program":"p","input":"x"}`, "unknown_model", "model"),
		Entry("a body too large", `{"model":"`+strings.Repeat("m", 1<<20)+`"}`, "body_too_large", ""),
	)

	It("authenticates the caller", func() {
		Expect(f1.turn(turnBody("s1", ""), headers{"Rosestand-Tenant": ""}).errorCode()).To(Equal("missing_field"))
		Expect(f1.turn(turnBody("s1", ""), headers{"Rosestand-Tenant": "stranger"}).errorCode()).To(Equal("forbidden"))
		configure(func(configuration *protocol.Configuration) {
			// SHA-256 of "secret".
			configuration.Active.Tenants[0].CredentialSha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
		})
		Expect(f1.turn(turnBody("s1", ""), nil).errorCode()).To(Equal("unauthorized"))
		Expect(f1.turn(turnBody("s1", ""), headers{"Authorization": "Bearer wrong"}).errorCode()).To(Equal("unauthorized"))
		r.backEnd("m1", modelServer, modelAnswer("in"))
		Expect(f1.turn(turnBody("s1", ""), headers{"Authorization": "Bearer secret"}).status).To(Equal(http.StatusOK))
	})

	It("limits a tenant's rate and sets Retry-After", func() {
		r.backEnd("m1", modelServer, modelAnswer("in"))
		configure(func(configuration *protocol.Configuration) { configuration.Active.Tenants[0].RequestsPerSecond = 1 })
		for at := range 2 {
			Expect(f1.turn(turnBody(fmt.Sprint("s", at), ""), nil).status).To(Equal(http.StatusOK))
		}
		limited := f1.turn(turnBody("s9", ""), nil)
		Expect(limited.status).To(Equal(http.StatusTooManyRequests))
		Expect(limited.errorCode()).To(Equal("rate_limited"))
		Expect(limited.header.Get("Retry-After")).To(Equal("1"))
		r.clock.advance(time.Second)
		Expect(f1.turn(turnBody("s9", ""), nil).status).To(Equal(http.StatusOK))
	})

	It("rejects a burst beyond the queue at once and never runs any of it", func() {
		release, arrived := make(chan struct{}), make(chan struct{}, 64)
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-release
			modelAnswer("in")(writer, request)
		})
		configure(func(configuration *protocol.Configuration) {
			configuration.Active.Limits.MaxConcurrent, configuration.Active.Limits.MaxQueued = 2, 3
		})
		answered := make(chan answer, 64)
		for at := range 20 {
			go func() {
				defer GinkgoRecover()
				answered <- f1.turn(turnBody(fmt.Sprint("s", at), ""), nil)
			}()
		}
		for range 15 {
			var rejection answer
			Eventually(answered).Should(Receive(&rejection))
			Expect(rejection.errorCode()).To(Equal("overloaded"))
			Expect(rejection.outcome()).To(Equal("not_run"))
			Expect(rejection.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		close(release)
		for range 5 {
			var served answer
			Eventually(answered).Should(Receive(&served))
			Expect(served.status).To(Equal(http.StatusOK))
		}
		Expect(arrived).To(HaveLen(5))
	})

	It("sends a share of the programs to the candidate and reports both variants", func() {
		r.backEnd("m1", modelServer, modelAnswer("in"))
		configure(func(configuration *protocol.Configuration) {
			configuration.Candidate = proto.CloneOf(configuration.Active)
			configuration.Candidate.Version = 6
			configuration.Rollout = &protocol.Rollout{CandidateVersion: 6, ShareBasisPoints: 5000}
		})
		reported := make(chan *protocol.ReportArmsRequest, 1)
		f1.link.answerWith(func(request *protocol.Request) (*protocol.Response, error) {
			reported <- request.GetReportArms()
			return &protocol.Response{}, nil
		})
		versions := map[string]int{}
		for at := range 40 {
			got := f1.turn(fmt.Sprintf(`{"model":%q,"program":"p%d","input":"x"}`, model, at), nil)
			versions[got.at("rosestand", "bundle_version")]++
		}
		Expect(versions["5"]).To(BeNumerically(">", 8))
		Expect(versions["6"]).To(BeNumerically(">", 8))
		Eventually(r.clock.isSet).WithArguments(front.VariantReportInterval).Should(BeTrue())
		r.clock.advance(front.VariantReportInterval)
		var report *protocol.ReportArmsRequest
		Eventually(reported).Should(Receive(&report))
		total := uint64(0)
		for _, sample := range report.GetSamples() {
			total += sample.GetRequests()
			Expect(sample.GetTokens()).To(Equal(sample.GetRequests()))
			Expect(sample.GetCandidate()).To(Equal(sample.GetBundleVersion() == 6))
		}
		Expect(total).To(BeEquivalentTo(40))
	})

	It("evaluates a shadow bundle beside the one in force", func() {
		r.backEnd("m1", modelServer, modelAnswer("in"))
		configure(func(configuration *protocol.Configuration) {
			configuration.Candidate = proto.CloneOf(configuration.Active)
			configuration.Candidate.Version = 6
			configuration.Rollout = &protocol.Rollout{CandidateVersion: 6, ShareBasisPoints: 10000, Shadow: true}
		})
		got := f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		Expect(got.at("rosestand", "bundle_version")).To(Equal("5"))
		Expect(f1.do(http.MethodGet, "/v1/explain/k1", "", nil).text).To(ContainSubstring(`"shadow_chosen":"m1"`))
	})

	Describe("towards back ends", func() {
		const heartbeat = `{"id":"m1","kind":"MODEL_SERVER","address":"127.0.0.1:9","group":"g",` +
			`"models":["m"],"incarnation":4,"capacity":8}`

		It("batches concurrent heartbeats into one relayed request", func() {
			relayed := make(chan int, 4)
			f1.link.answerWith(func(request *protocol.Request) (*protocol.Response, error) {
				relayed <- len(request.GetRelayHeartbeats().GetHeartbeats())
				return &protocol.Response{Body: &protocol.Response_RelayHeartbeats{
					RelayHeartbeats: &protocol.RelayHeartbeatsResponse{IntervalSeconds: 2},
				}}, nil
			})
			answered := make(chan answer, 3)
			for range 3 {
				go func() {
					defer GinkgoRecover()
					answered <- f1.do(http.MethodPost, "/v1/backends/heartbeat", heartbeat, nil)
				}()
			}
			Eventually(func() int {
				if r.clock.isSet(front.HeartbeatWindow) {
					r.clock.advance(front.HeartbeatWindow)
				}
				return len(answered)
			}).Should(Equal(3))
			Expect((<-answered).at("interval_seconds")).To(Equal("2"))
			Expect(len(relayed)).To(BeNumerically("<", 4))
		})

		It("validates heartbeats and reports an unreachable core", func() {
			got := f1.do(http.MethodPost, "/v1/backends/heartbeat", strings.Replace(heartbeat, "127.0.0.1:9", "host:9", 1), nil)
			Expect(got.at("error", "path")).To(Equal("address"))
			f1.link.answerWith(func(*protocol.Request) (*protocol.Response, error) {
				return nil, failure.New(failure.NoLeader, protocol.Outcome_NOT_RUN, "none", failure.WithRetryAfter(time.Second))
			})
			answered := make(chan answer, 1)
			go func() {
				defer GinkgoRecover()
				answered <- f1.do(http.MethodPost, "/v1/backends/heartbeat", heartbeat, nil)
			}()
			Eventually(func() int {
				if r.clock.isSet(front.HeartbeatWindow) {
					r.clock.advance(front.HeartbeatWindow)
				}
				return len(answered)
			}).Should(Equal(1))
			unreachable := <-answered
			Expect(unreachable.errorCode()).To(Equal("no_leader"))
			Expect(unreachable.header.Get("Retry-After")).To(Equal("1"))
		})

		It("answers a drain after the core acknowledged it", func() {
			f1.link.answerWith(func(request *protocol.Request) (*protocol.Response, error) {
				Expect(request.GetDrainBackEnd().GetId()).To(Equal("m1"))
				Expect(request.GetDrainBackEnd().GetIncarnation()).To(BeEquivalentTo(4))
				return &protocol.Response{Body: &protocol.Response_DrainBackEnd{
					DrainBackEnd: &protocol.DrainBackEndResponse{ViewVersion: 9},
				}}, nil
			})
			got := f1.do(http.MethodPost, "/v1/backends/m1/drain", `{"incarnation":4}`, nil)
			Expect(got.at("view_version")).To(Equal("9"))
			Expect(f1.do(http.MethodPost, "/v1/backends/m1/drain", `{}`, nil).at("error", "path")).To(Equal("incarnation"))
		})
	})

	It("collects explanations from the other front nodes", func() {
		f2 := r.front("f2")
		membership := &protocol.MembershipView{Version: 1, Nodes: []*protocol.Node{
			{Name: "f1", Kind: protocol.NodeKind_FRONT, Address: "f1"},
			{Name: "f2", Kind: protocol.NodeKind_FRONT, Address: "f2"},
		}}
		r.put(&corelink.View{Configuration: r.view.Configuration, Membership: membership, BackEnds: r.view.BackEnds})
		r.backEnd("m1", modelServer, modelAnswer("in"))
		f1.ownership.setOwner("s1", "f2")
		f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		for _, peer := range []*node{f1, f2} {
			got := peer.do(http.MethodGet, "/v1/explain/k1", "", nil)
			Expect(got.text).To(ContainSubstring(`"node":"f2"`))
		}
		Expect(f1.do(http.MethodGet, "/v1/explain/k1", "", nil).text).To(ContainSubstring(`"node":"f1"`))
	})
})
