package core_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/controlplane/core/operators"
	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

const operatorToken = "correct horse battery staple"

// failureBody is the body of a response with an error.
type failureBody struct {
	Error struct {
		Code, Message, Path, Outcome string
		Faults                       []struct{ Path, Message string }
		Winner                       struct{ Version string }
	}
}

var _ = Describe("the HTTP interface of operators", func() {
	var f *fleet
	var leader *member
	var private ed25519.PrivateKey
	BeforeEach(func() {
		public, key, err := ed25519.GenerateKey(rand.NewChaCha8([32]byte{3}))
		Expect(err).NotTo(HaveOccurred())
		private = key
		keys, err := signoffkey.Parse([]string{"ann:" + hex.EncodeToString(public)})
		Expect(err).NotTo(HaveOccurred())
		tokens, err := operators.ParseTokens([]byte("# operators\nann " + strings.ReplaceAll(operatorToken, " ", "-") + "\n"))
		Expect(err).NotTo(HaveOccurred())
		f = newFleet(2, func(options *core.Options) { options.FirstKeys, options.Tokens = keys, tokens })
		leader = f.lead(f.members[0])
		f.advance(100 * time.Millisecond)
	})
	// send makes one request with a valid token; an empty order omits the order header.
	send := func(to *member, method, path, order string, body any) *httptest.ResponseRecorder {
		GinkgoHelper()
		var content []byte
		switch typed := body.(type) {
		case nil:
		case string:
			content = []byte(typed)
		case *protocol.Bundle:
			encoded, err := strictjson.Marshal(typed)
			Expect(err).NotTo(HaveOccurred())
			content = encoded
		}
		request := httptest.NewRequest(method, path, bytes.NewReader(content))
		request.Header.Set("Authorization", "Bearer "+strings.ReplaceAll(operatorToken, " ", "-"))
		if order != "" {
			request.Header.Set("Rosestand-Order", order)
		}
		recorder := httptest.NewRecorder()
		to.service.ServeHTTP(recorder, request)
		return recorder
	}
	failed := func(recorder *httptest.ResponseRecorder) failureBody {
		GinkgoHelper()
		var body failureBody
		Expect(json.Unmarshal(recorder.Body.Bytes(), &body)).To(Succeed(), recorder.Body.String())
		return body
	}
	sign := func(version int, order, rollout string) *httptest.ResponseRecorder {
		digest := leader.machine.View().Bundle(uint64(version)).Status.GetMergedDigest()
		body := fmt.Sprintf(`{"key_name":"ann","signature":%q%s}`, bundle.Sign(private, digest), rollout)
		return send(leader, "POST", fmt.Sprintf("/v1/bundles/%d/sign", version), order, body)
	}

	It("accepts, returns and activates bundles that are signed off", func() {
		Expect(send(leader, "PUT", "/v1/bundles/1", "o1", bundle.Default(1)).Code).To(Equal(http.StatusOK))
		signed := sign(1, "o2", "")
		Expect(signed.Code).To(Equal(http.StatusOK), signed.Body.String())
		Expect(send(leader, "GET", "/v1/bundles", "", nil).Body.String()).To(ContainSubstring(`"newest":1,"active":1`))
		Expect(send(leader, "GET", "/v1/bundles/active", "", nil).Body.String()).To(ContainSubstring("valve-plan"))
		partial := &protocol.Bundle{BaseVersion: 1, Partial: true, Limits: &protocol.LimitPolicy{MaxQueued: 7}}
		Expect(send(leader, "PUT", "/v1/bundles/2", "o3", partial).Code).To(Equal(http.StatusOK))
		body := send(leader, "GET", "/v1/bundles/1/diff/newest", "", nil).Body.String()
		Expect(body).To(ContainSubstring(`"limits_changed":true`))
		Expect(sign(2, "o4", `,"rollout":{"share_basis_points":100}`).Code).To(Equal(http.StatusOK))
		Expect(send(leader, "GET", "/v1/rollout", "", nil).Body.String()).To(ContainSubstring(`"candidate_version":"2"`))
		Expect(send(leader, "POST", "/v1/rollout/promote", "o5", nil).Code).To(Equal(http.StatusOK))
		Expect(leader.machine.View().Configuration.GetActive().GetVersion()).To(BeEquivalentTo(2))
	})

	It("acknowledges an order again after a lost response, at another leader and after a restart", func() {
		f.set(func() { leader.loseAnswers = true })
		lost := send(leader, "PUT", "/v1/bundles/1", "o1", bundle.Default(1))
		Expect(lost.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(failed(lost).Error.Outcome).To(Equal("unknown"))
		f.set(func() { leader.loseAnswers = false })
		next := f.lead(f.members[1])
		next.restart()
		first := send(next, "PUT", "/v1/bundles/1", "o1", bundle.Default(1))
		Expect(first.Code).To(Equal(http.StatusOK))
		Expect(send(next, "PUT", "/v1/bundles/1", "o1", bundle.Default(1)).Body.String()).To(Equal(first.Body.String()))
	})

	It("accepts exactly one of 16 concurrent bundles with the same version", func() {
		var group sync.WaitGroup
		answers := make([]*httptest.ResponseRecorder, 16)
		for i := range answers {
			group.Go(func() {
				defer GinkgoRecover()
				racing := bundle.Default(1)
				racing.Limits.MaxQueued = uint32(100 + i)
				answers[i] = send(leader, "PUT", "/v1/bundles/1", fmt.Sprintf("o%d", i), racing)
			})
		}
		group.Wait()
		won := 0
		for _, recorder := range answers {
			if recorder.Code == http.StatusOK {
				won++
				continue
			}
			Expect(recorder.Code).To(Equal(http.StatusConflict))
			Expect(failed(recorder).Error.Code).To(Equal("version_taken"))
			Expect(failed(recorder).Error.Winner.Version).To(Equal("1"))
		}
		Expect(won).To(Equal(1))
	})

	DescribeTable("rejects invalid input with a typed error and changes nothing",
		func(method, path, order, body string, status int, code, faultPath string) {
			index := f.index
			answer := send(leader, method, path, order, body)
			Expect(answer.Code).To(Equal(status), answer.Body.String())
			Expect(failed(answer).Error.Code).To(Equal(code))
			Expect(failed(answer).Error.Path).To(Equal(faultPath))
			Expect(failed(answer).Error.Outcome).To(Equal("not_run"))
			Expect(f.index).To(Equal(index))
		},
		Entry("unknown route", "GET", "/v1/nothing", "", "", 404, "unknown_route", "/v1/nothing"),
		Entry("unknown method", "DELETE", "/v1/bundles", "o", "", 405, "method_not_allowed", "/v1/bundles"),
		Entry("missing order id", "PUT", "/v1/bundles/1", "", "{}", 400, "missing_field", "Rosestand-Order"),
		Entry("order id too long", "PUT", "/v1/bundles/1", strings.Repeat("x", 129), "{}", 400, "invalid_field",
			"Rosestand-Order"),
		Entry("unknown field", "PUT", "/v1/bundles/1", "o", `{"routes":[{"nam":"x"}]}`, 400, "unknown_field",
			"routes[0].nam"),
		Entry("not JSON", "PUT", "/v1/bundles/1", "o", `{"routes":`, 400, "invalid_body", "routes"),
		Entry("version differs from the path", "PUT", "/v1/bundles/1", "o", `{"version":2}`, 400, "invalid_field", "version"),
		Entry("version not a number", "PUT", "/v1/bundles/x", "o", `{}`, 400, "invalid_field", "version"),
		Entry("unsigned", "POST", "/v1/bundles/1/sign", "o", `{"key_name":"ann"}`, 400, "missing_field", "signature"),
		Entry("unknown bundle", "GET", "/v1/bundles/7", "", "", 404, "not_found", "version"),
		Entry("member without address", "POST", "/v1/core/members", "o", `{}`, 400, "missing_field", "address"),
	)

	It("lists all faults of an invalid bundle", func() {
		answer := send(leader, "PUT", "/v1/bundles/1", "o",
			`{"routes":[{"name":"a","model":"m","group":"g"}],"limits":{"retry_percent":300}}`)
		Expect(answer.Code).To(Equal(http.StatusUnprocessableEntity))
		Expect(failed(answer).Error.Faults).To(HaveLen(2))
	})

	It("requires an operator's token", func() {
		for _, header := range []string{"", "Bearer ", "Bearer wrong", operatorToken} {
			request := httptest.NewRequest(http.MethodGet, "/v1/nodes", nil)
			request.Header.Set("Authorization", header)
			recorder := httptest.NewRecorder()
			leader.service.ServeHTTP(recorder, request)
			Expect(recorder.Code).To(Equal(http.StatusUnauthorized), header)
		}
	})

	It("redirects operators from a follower to the leader and reports when no leader is known", func() {
		for _, method := range []string{"GET", "PUT"} {
			answer := send(f.members[1], method, "/v1/bundles/1?x=y", "o", bundle.Default(1))
			Expect(answer.Code).To(Equal(http.StatusTemporaryRedirect))
			Expect(answer.Header().Get("Location")).To(Equal("http://127.0.0.1:1000/v1/bundles/1?x=y"))
		}
		f.lead(nil)
		answer := send(f.members[1], "GET", "/v1/nodes", "", nil)
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(failed(answer).Error.Code).To(Equal("no_leader"))
		Expect(answer.Header().Get("Retry-After")).To(Equal("1"))
		Expect(send(f.members[1], "GET", "/v1/core?local=true", "", nil).Code).To(Equal(http.StatusOK))
	})

	It("empties the last store of a zone that replicas are spread over only if the order waives the spread", func() {
		for i, zone := range []string{"z0", "z0", "z1", "z2"} {
			leader.renew(storeNode(fmt.Sprintf("s%d", i), zone), nil)
		}
		f.advance(1500 * time.Millisecond)
		rejected := send(leader, "POST", "/v1/stores/s2/empty", "o1", nil)
		Expect(rejected.Code).To(Equal(http.StatusConflict))
		Expect(rejected.Body.String()).To(ContainSubstring("too_few_stores"))
		Expect(send(leader, "POST", "/v1/stores/s2/empty", "o2", `{"keep_spread":false}`).Code).To(Equal(http.StatusOK))
	})

	It("lists nodes with their leases, back ends and stores, and empties and retires a store", func() {
		leader.renew(frontNode("f1", 1), leader.machine.View().Versions())
		leader.heartbeat(modelServer("m1"))
		for i := range 4 {
			leader.renew(storeNode(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i)), nil)
		}
		f.advance(1500 * time.Millisecond)
		body := send(leader, "GET", "/v1/nodes", "", nil).Body.String()
		Expect(body).To(ContainSubstring(`"name":"f1","incarnation":1,"millis_left"`))
		Expect(send(leader, "GET", "/v1/backends", "", nil).Body.String()).To(ContainSubstring(`"m1"`))
		Expect(leader.machine.View().Placement.GetShards()).To(HaveLen(core.DefaultShardCount))
		Expect(send(leader, "POST", "/v1/stores/s1/retire", "o1", nil).Code).To(Equal(http.StatusConflict))
		Expect(send(leader, "POST", "/v1/stores/s1/empty", "o2", nil).Code).To(Equal(http.StatusOK))
		for range 200 {
			f.advance(50 * time.Millisecond)
			leader.reportCopies()
			for i := range 4 {
				leader.renew(storeNode(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i)), nil)
			}
		}
		Expect(send(leader, "GET", "/v1/stores", "", nil).Body.String()).To(ContainSubstring(`"state":"emptied"`))
		Expect(send(leader, "POST", "/v1/stores/s1/retire", "o3", nil).Code).To(Equal(http.StatusOK))
		Expect(leader.renew(storeNode("s1", "z1"), nil)).To(BeFalse())
	})

	It("sums the samples of the variants and withdraws the candidate when they cross a limit of its guard", func() {
		send(leader, "PUT", "/v1/bundles/1", "o1", bundle.Default(1))
		sign(1, "o2", "")
		send(leader, "PUT", "/v1/bundles/2", "o3", bundle.Default(2))
		sign(2, "o4", `,"rollout":{"share_basis_points":100,"guard":{"max_error_ratio":0.1,"minimum_samples":100}}`)
		report := func(requests, errors uint64) {
			_, err := leader.call(&protocol.Request{Body: &protocol.Request_ReportArms{ReportArms: &protocol.ReportArmsRequest{
				Samples: []*protocol.ArmSample{
					{BundleVersion: 2, Candidate: true, Requests: requests, Errors: errors},
					{BundleVersion: 1, Requests: 1000},
				},
			}}})
			Expect(err).NotTo(HaveOccurred())
		}
		report(90, 60)
		Expect(send(leader, "GET", "/v1/rollout", "", nil).Body.String()).To(And(ContainSubstring(`"requests":"90"`),
			ContainSubstring(`"requests":"1000"`)))
		Expect(leader.machine.View().Configuration.GetCandidate()).NotTo(BeNil())
		report(10, 0)
		Expect(leader.machine.View().Configuration.GetCandidate()).To(BeNil())
		Expect(leader.machine.View().Bundle(2).Status.GetState()).To(Equal(protocol.BundleState_WITHDRAWN))
	})
})

// reportCopies stands in for the stores and reports every rebuilding replica as copied.
func (m *member) reportCopies() {
	GinkgoHelper()
	for _, shard := range m.machine.View().Placement.GetShards() {
		for _, replica := range shard.GetNext() {
			if replica.GetState() != protocol.ReplicaState_REPLICA_REBUILDING {
				continue
			}
			_, err := m.call(&protocol.Request{Body: &protocol.Request_ShardCopied{ShardCopied: &protocol.ShardCopiedRequest{
				Store: replica.GetStore(), StorageId: replica.GetStorageId(), Shard: shard.GetShard(),
				Epoch: m.machine.View().Placement.GetEpoch(),
			}}})
			Expect(err).NotTo(HaveOccurred())
		}
	}
}
