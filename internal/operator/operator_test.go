package operator_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/operator"
	"github.com/rosestand/rosestand/internal/process/settings/signoffkey"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/strictjson"
)

const token = "operator-secret"

const acceptedBody = `{"accepted":true,"index":"12"}`

var _ = Describe("the operators' client", func() {
	var (
		leader, follower *fakeProcess
		output, stderr   *bytes.Buffer
		folder           string
		variables        map[string]string
		sleeps           int
	)

	BeforeEach(func() {
		existing := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(existing) }).Should(Succeed()) })
		leader, follower = newFakeProcess(), newFakeProcess()
		DeferCleanup(leader.server.Close)
		DeferCleanup(follower.server.Close)
		leader.respondAlways(http.StatusOK, acceptedBody)
		output, stderr = &bytes.Buffer{}, &bytes.Buffer{}
		folder = GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(folder, "token"), []byte(token+"\n"), 0o600)).To(Succeed())
		variables = map[string]string{"ROSESTAND_TOKEN_FILE": filepath.Join(folder, "token")}
		sleeps = 0
	})

	// run executes a command with the core addresses; its fourth sleep fails as if the timeout had elapsed.
	run := func(cores []string, arguments ...string) int {
		output.Reset()
		stderr.Reset()
		return operator.Execute(context.Background(), operator.Environment{
			Arguments: append([]string{"--core", strings.Join(cores, ",")}, arguments...),
			Input:     strings.NewReader(""), Output: output, Errors: stderr,
			LookupEnvironment: func(name string) string { return variables[name] },
			Sleep: func(context.Context, time.Duration) error {
				if sleeps++; sleeps > 3 {
					return context.DeadlineExceeded
				}
				return nil
			},
		})
	}

	writeFile := func(name, content string) string {
		path := filepath.Join(folder, name)
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		return path
	}

	Describe("given a core that accepts orders", func() {
		It("delivers a bundle under an order id with the token", func() {
			Expect(
				run(
					[]string{leader.address}, "bundle", "put",
					writeFile("b.json", `{"version": 4, "base_version": 3, "partial": true}`),
				),
			).To(Equal(operator.ExitDone), stderr.String())
			request := leader.received()[0]
			Expect(request.method + " " + request.path).To(Equal("PUT /v1/bundles/4"))
			Expect(request.authorization).To(Equal("Bearer " + token))
			Expect(request.order).NotTo(BeEmpty())
			Expect(request.body).To(MatchJSON(`{"version":"4","base_version":"3","partial":true}`))
			Expect(output.String()).To(ContainSubstring("bundle 4 was accepted"))
		})

		It("releases a bundle on the base of the file or of the flag", func() {
			document := writeFile("b.json", `{"version": 9, "base_version": 7, "partial": true}`)
			Expect(run([]string{leader.address}, "bundle", "release", document)).To(Equal(operator.ExitDone), stderr.String())
			Expect(output.String()).To(ContainSubstring("bundle 9 is in force"))
			Expect(
				run([]string{leader.address}, "bundle", "release", document, "--base", "8", "--number", "10"),
			).To(Equal(operator.ExitDone), stderr.String())
			requests := leader.received()
			Expect(requests[0].method + " " + requests[0].path).To(Equal("PUT /v1/releases/9?base=7"))
			Expect(requests[0].body).To(MatchJSON(`{"version":"9","base_version":"7","partial":true}`))
			Expect(requests[1].path).To(Equal("/v1/releases/10?base=8"))
			Expect(requests[1].body).To(MatchJSON(`{"version":"10","base_version":"8","partial":true}`))
			Expect(run([]string{leader.address}, "bundle", "release", writeFile("c.json", `{}`))).To(Equal(operator.ExitUsage))
		})

		It("sends every order under a new id, or under the requested one", func() {
			Expect(run([]string{leader.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitDone))
			Expect(run([]string{leader.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitDone))
			Expect(run([]string{leader.address}, "stores", "retire", "store-1", "--order", "mine")).To(Equal(operator.ExitDone))
			requests := leader.received()
			Expect(requests[0].order).NotTo(Equal(requests[1].order))
			Expect(requests[2].order).To(Equal("mine"))
			Expect(requests[2].path).To(Equal("/v1/stores/store-1/retire"))
		})

		DescribeTable("sends each order to its route",
			func(want, wantBody string, arguments ...string) {
				Expect(run([]string{leader.address}, arguments...)).To(Equal(operator.ExitDone), stderr.String())
				request := leader.received()[0]
				Expect(request.method + " " + request.path).To(Equal(want))
				Expect(request.order).NotTo(BeEmpty())
				if wantBody != "" {
					Expect(request.body).To(MatchJSON(wantBody))
				}
			},
			Entry("rollout", "PUT /v1/rollout", `{"candidateVersion":"5","shareBasisPoints":250,`+
				`"guard":{"maxErrorRatio":0.02,"minimumSamples":100}}`,
				"bundle", "rollout", "5", "--share", "2.5", "--max-error-percent", "2", "--minimum-samples", "100"),
			Entry(
				"shadow", "PUT /v1/rollout", `{"candidateVersion":"5","shadow":true,"guard":{}}`, "bundle", "rollout", "5",
				"--shadow",
			),
			Entry("promote", "POST /v1/rollout/promote", `{"candidateVersion":"5"}`, "bundle", "promote", "5"),
			Entry("withdraw", "POST /v1/rollout/withdraw", `{"candidateVersion":"5"}`, "bundle", "withdraw", "5"),
			Entry(
				"drain", "POST /v1/backends/gpu%2F1/drain", `{"id":"gpu/1","incarnation":"7"}`, "backends", "drain", "gpu/1",
				"--incarnation", "7",
			),
			Entry("core add", "POST /v1/core/members", `{"address":"127.0.0.1:9"}`, "core", "add", "127.0.0.1:9"),
			Entry("core remove", "DELETE /v1/core/members/core-2", "", "core", "remove", "core-2"),
		)
	})

	Describe("given a key made by keygen", func() {
		var public, keyFile string

		BeforeEach(func() {
			keyFile = filepath.Join(folder, "alice.key")
			Expect(
				run(nil, "bundle", "keygen", "--key-name", "alice", "--key-file", keyFile),
			).To(Equal(operator.ExitDone), stderr.String())
			public = strings.TrimSpace(strings.TrimPrefix(output.String(), "alice:"))
		})

		serveBundle := func(change func(status *protocol.BundleStatus)) string {
			merged := bundle.Default(6)
			status := &protocol.BundleStatus{Version: 6, MergedDigest: bundle.Digest(merged)}
			change(status)
			document, err := strictjson.Marshal(merged)
			Expect(err).NotTo(HaveOccurred())
			leader.respond = func(writer http.ResponseWriter, request *http.Request, _ string) {
				if request.Method == http.MethodGet {
					_, _ = fmt.Fprintf(
						writer, `{"status":{"version":"6","merged_digest":%q},"bundle":%s}`, status.GetMergedDigest(), document,
					)
					return
				}
				_, _ = io.WriteString(writer, acceptedBody)
			}
			return status.GetMergedDigest()
		}

		It("signs the merged digest so that the public key verifies it, and prints the digest", func() {
			digest := serveBundle(func(*protocol.BundleStatus) {})
			Expect(
				run([]string{leader.address}, "bundle", "sign", "6", "--key-name", "alice", "--key-file", keyFile, "--share", "10"),
			).To(Equal(operator.ExitDone), stderr.String())
			Expect(stderr.String()).To(ContainSubstring(digest))
			request := leader.received()[1]
			Expect(request.path).To(Equal("/v1/bundles/6/sign"))
			var sent struct {
				KeyName, Signature string
				Rollout            struct{ ShareBasisPoints uint32 }
			}
			Expect(json.Unmarshal([]byte(request.body), &sent)).To(Succeed())
			keys, err := signoffkey.Parse([]string{"alice:" + public})
			Expect(err).NotTo(HaveOccurred())
			Expect(bundle.Verify(keys, sent.KeyName, digest, sent.Signature)).To(Succeed())
			Expect(sent.Rollout.ShareBasisPoints).To(BeEquivalentTo(1000))
		})

		It("does not sign a digest that does not match the content", func() {
			serveBundle(func(status *protocol.BundleStatus) { status.MergedDigest = strings.Repeat("0", 64) })
			Expect(
				run([]string{leader.address}, "bundle", "sign", "6", "--key-name", "alice", "--key-file", keyFile),
			).To(Equal(operator.ExitFailure))
			Expect(leader.received()).To(HaveLen(1))
		})

		It("does not sign a digest other than the one the operator expects", func() {
			serveBundle(func(*protocol.BundleStatus) {})
			Expect(
				run(
					[]string{leader.address}, "bundle", "sign", "6", "--key-name", "alice", "--key-file", keyFile, "--digest", "abc",
				),
			).To(Equal(operator.ExitFailure))
			Expect(leader.received()).To(HaveLen(1))
		})

		It("makes the private key readable only by the owner of the file and never overwrites it", func() {
			status, err := os.Stat(keyFile)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Mode().Perm()).To(BeEquivalentTo(0o600))
			before, err := os.ReadFile(keyFile)
			Expect(err).NotTo(HaveOccurred())
			seed, err := hex.DecodeString(strings.TrimSpace(string(before)))
			Expect(err).NotTo(HaveOccurred())
			Expect(hex.EncodeToString(ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey))).To(Equal(public))
			Expect(run(nil, "bundle", "keygen", "--key-name", "alice", "--key-file", keyFile)).To(Equal(operator.ExitFailure))
			Expect(os.ReadFile(keyFile)).To(Equal(before))
		})
	})

	Describe("given lost responses", func() {
		It("resends an order under the same id until it is acknowledged", func() {
			lost := 0
			leader.respond = func(writer http.ResponseWriter, _ *http.Request, _ string) {
				if lost++; lost <= 2 {
					dropConnection(writer)
					return
				}
				_, _ = io.WriteString(writer, acceptedBody)
			}
			Expect(run([]string{leader.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitDone), stderr.String())
			requests := leader.received()
			Expect(requests).To(HaveLen(3))
			Expect(requests[1].order).To(Equal(requests[0].order))
			Expect(requests[2].order).To(Equal(requests[0].order))
		})

		It("reports an unknown outcome with the order id when no response ever arrives", func() {
			leader.respond = func(writer http.ResponseWriter, _ *http.Request, _ string) { dropConnection(writer) }
			Expect(
				run([]string{leader.address}, "stores", "empty", "store-1", "--order", "order-77"),
			).To(Equal(operator.ExitUnknown))
			Expect(stderr.String()).To(ContainSubstring("--order order-77"))
		})

		It("reports an unknown outcome when the responses after a lost one only report that there is no leader", func() {
			first := true
			leader.respond = func(writer http.ResponseWriter, _ *http.Request, _ string) {
				if first {
					first = false
					dropConnection(writer)
					return
				}
				writer.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(writer, rejectionBody("no_leader"))
			}
			Expect(run([]string{leader.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitUnknown))
		})

		It("reports a read without a response as unreachable, since a read changes nothing", func() {
			leader.respond = func(writer http.ResponseWriter, _ *http.Request, _ string) { dropConnection(writer) }
			Expect(run([]string{leader.address}, "nodes")).To(Equal(operator.ExitUnreachable))
		})
	})

	Describe("given several core processes", func() {
		It("tries the next address when one is down", func() {
			Expect(
				run([]string{unusedAddress(), leader.address}, "stores", "empty", "store-1"),
			).To(Equal(operator.ExitDone), stderr.String())
		})

		It("reports that nothing was run when all are down", func() {
			Expect(run([]string{unusedAddress()}, "stores", "empty", "store-1")).To(Equal(operator.ExitUnreachable))
		})

		It("follows a redirect to a known leader with the same order and token", func() {
			follower.redirectTo(leader.address)
			Expect(run([]string{follower.address, leader.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitDone))
			Expect(leader.received()[0].order).To(Equal(follower.received()[0].order))
			Expect(leader.received()[0].authorization).To(Equal("Bearer " + token))
		})

		It("follows a redirect to a leader that the follower lists as a member", func() {
			follower.redirectTo(leader.address, leader.address)
			Expect(run([]string{follower.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitDone), stderr.String())
			Expect(leader.received()).To(HaveLen(1))
		})

		It("sends nothing to an address outside the cluster", func() {
			follower.redirectTo(leader.address, "127.0.0.1:1")
			Expect(run([]string{follower.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitFailure))
			Expect(leader.received()).To(BeEmpty())
		})

		It("retries while there is no leader", func() {
			attempts := 0
			leader.respond = func(writer http.ResponseWriter, _ *http.Request, _ string) {
				if attempts++; attempts < 3 {
					writer.WriteHeader(http.StatusServiceUnavailable)
					_, _ = io.WriteString(writer, rejectionBody("no_leader"))
					return
				}
				_, _ = io.WriteString(writer, acceptedBody)
			}
			Expect(run([]string{leader.address}, "stores", "empty", "store-1")).To(Equal(operator.ExitDone))
			Expect(sleeps).To(Equal(2))
		})
	})

	Describe("given rejections", func() {
		DescribeTable("exits with the code of the reason after one request",
			func(status int, body string, want int) {
				leader.respondAlways(status, body)
				Expect(run([]string{leader.address}, "stores", "retire", "store-1")).To(Equal(want), stderr.String())
				Expect(leader.received()).To(HaveLen(1))
			},
			Entry("a taken version", http.StatusConflict, rejectionBody("version_taken"), operator.ExitRejected),
			Entry(
				"an invalid order", http.StatusUnprocessableEntity, rejectionBody("invalid_order"), operator.ExitRejected,
			),
			Entry("a bad signature", http.StatusForbidden, rejectionBody("bad_signature"), operator.ExitRejected),
			Entry("no token", http.StatusUnauthorized, rejectionBody("unauthorized"), operator.ExitUnauthorized),
			Entry("not found", http.StatusNotFound, rejectionBody("not_found"), operator.ExitNotFound),
		)

		It("lists every fault with its path, and the winner", func() {
			leader.respondAlways(http.StatusConflict, `{"error":{"code":"version_taken","message":"taken","outcome":"not_run",
				"faults":[{"path":"routes[2].group","message":"is missing"}],"winner":{"version":"4"}}}`)
			Expect(
				run([]string{leader.address}, "bundle", "put", writeFile("b.json", `{"version":4}`)),
			).To(Equal(operator.ExitRejected))
			Expect(stderr.String()).To(And(ContainSubstring("routes[2].group: is missing"), ContainSubstring(`{"version":"4"}`)))
		})
	})

	Describe("given invalid usage", func() {
		DescribeTable("exits with 2 and sends nothing",
			func(arguments ...string) {
				Expect(run([]string{leader.address}, arguments...)).To(Equal(operator.ExitUsage), stderr.String())
				Expect(leader.received()).To(BeEmpty())
			},
			Entry("an unknown command", "nonsense"),
			Entry("an unknown command of a group", "bundle", "nonsense"),
			Entry("an unknown flag", "nodes", "--nonsense"),
			Entry("a missing argument", "bundle", "put"),
			Entry("an unknown output format", "nodes", "--output", "xml"),
			Entry("a name in place of an IP", "nodes", "--core", "localhost:80"),
			Entry("an invalid version", "bundle", "promote", "soon"),
			Entry("a missing key", "bundle", "sign", "3"),
			Entry("a share over 100", "bundle", "rollout", "3", "--share", "101"),
		)

		It("lists all faults of a bundle before it is sent", func() {
			Expect(
				run(
					[]string{leader.address}, "bundle", "put",
					writeFile("b.json", `{"version": 1, "nonsense": 1, "routes": [{"nam": ""}]}`),
				),
			).To(Equal(operator.ExitUsage))
			Expect(stderr.String()).To(
				And(ContainSubstring("nonsense: unknown field"), ContainSubstring("routes[0].nam: unknown field")),
			)
			Expect(leader.received()).To(BeEmpty())
		})

		It("never prints the token", func() {
			leader.respondAlways(http.StatusUnauthorized, rejectionBody("unauthorized"))
			Expect(run([]string{leader.address}, "nodes")).To(Equal(operator.ExitUnauthorized))
			Expect(output.String() + stderr.String()).NotTo(ContainSubstring(token))
		})
	})

	Describe("given reads", func() {
		It("lists nodes as a table or as JSON", func() {
			body := `{"version":"3","nodes":[{"name":"front-1","kind":"FRONT","zone":"z1"}],` +
				`"leases":[{"name":"front-1","millis_left":4200,"in_force":{"configuration":9}}]}`
			body = strings.Replace(body, `"version":"3"`, `"version":3`, 1)
			leader.respondAlways(http.StatusOK, body)
			Expect(run([]string{leader.address}, "nodes")).To(Equal(operator.ExitDone), stderr.String())
			Expect(output.String()).To(MatchRegexp(`front-1\s+front\s+z1.*4200\s+9`))
			Expect(run([]string{leader.address}, "nodes", "-o", "json")).To(Equal(operator.ExitDone))
			Expect(output.String()).To(MatchJSON(body))
		})

		DescribeTable("renders",
			func(body, want string, arguments ...string) {
				leader.respondAlways(http.StatusOK, body)
				Expect(run([]string{leader.address}, arguments...)).To(Equal(operator.ExitDone), stderr.String())
				Expect(output.String()).To(MatchRegexp(want))
			},
			Entry("bundles", `{"newest":2,"active":1,"bundles":[{"version":"2","state":"ACCEPTED"},`+
				`{"version":"1","state":"SIGNED"}]}`,
				`(?s)2 +ACCEPTED +0 +\s.*1 +SIGNED +0 +active`, "bundle", "list"),
			Entry(
				"a difference", `{"from":1,"to":2,"routes":{"added":["r9"]},"limits_changed":true}`,
				`(?s)limits +changed.*route +added +r9`, "bundle", "diff", "1", "2",
			),
			Entry("no difference", `{"from":1,"to":2}`, `no difference`, "bundle", "diff", "1", "2"),
			Entry("a roll-out", `{"active":1,"rollout":{"candidate_version":"2","share_basis_points":250},`+
				`"arms":[{"bundle_version":"2","candidate":true,"requests":"40","errors":"1","first_token_buckets":["0","40"]}]}`,
				`(?s)bundle 2 beside 1, 2.5%.*candidate +40 +1`, "bundle", "rollout"),
			Entry("no roll-out", `{"active":1,"arms":[]}`, `no roll-out is under way`, "bundle", "rollout"),
			Entry(
				"back ends", `{"version":"4","back_ends":[{"id":"gpu-1","kind":"MODEL_SERVER","state":"READY","models":["m"]}]}`,
				`gpu-1 +model_server +ready`, "backends",
			),
			Entry(
				"stores",
				`{"placement_epoch":7,"shards":64,"shards_moving":2,"stores":[{"name":"store-1","state":"emptying","shards":5}]}`,
				`(?s)store-1 +emptying.*64 shards, 2 moving`, "stores", "list",
			),
			Entry("the core", `{"name":"core-1","leader":"2","configuration":{"members":[`+
				`{"id":"2","name":"core-2","voter":true},{"id":"3","name":"core-3"}]}}`,
				`(?s)core-2 +2 +voter.*leads.*core-3 +3 +standby`, "core", "status"),
		)

		It("waits until a store is emptied", func() {
			shards := 3
			leader.respond = func(writer http.ResponseWriter, request *http.Request, _ string) {
				if request.Method == http.MethodPost {
					_, _ = io.WriteString(writer, acceptedBody)
					return
				}
				state := "emptying"
				if shards--; shards == 0 {
					state = "emptied"
				}
				_, _ = fmt.Fprintf(writer, `{"stores":[{"name":"store-1","state":%q,"shards":%d}]}`, state, shards)
			}
			Expect(
				run([]string{leader.address}, "stores", "empty", "store-1", "--wait"),
			).To(Equal(operator.ExitDone), stderr.String())
			Expect(output.String()).To(ContainSubstring("store store-1 is emptied"))
			Expect(sleeps).To(Equal(2))
		})

		It("explains a request through the front nodes that the core lists, without sending them the token", func() {
			front := newFakeProcess()
			defer front.server.Close()
			front.respondAlways(http.StatusOK,
				`{"explanations":[{"request_id":"r 1","node":"front-1","owner":"front-2","epoch":"3",
				"candidates":[{"back_end":"gpu-1","score":0.5},{"back_end":"gpu-2","score":2,"reason":"over the load bound"}],
				"steps":[{"at_micros":"1500","what":"lookup"}]}]}`)
			leader.respondAlways(http.StatusOK, fmt.Sprintf(`{"nodes":[{"name":"front-0","kind":"FRONT","http_address":%q},
				{"name":"front-1","kind":"FRONT","http_address":%q}]}`, unusedAddress(), front.address))
			Expect(run([]string{leader.address}, "explain", "r 1")).To(Equal(operator.ExitDone), stderr.String())
			Expect(front.received()[0].path).To(Equal("/v1/explain/r%201"))
			Expect(front.received()[0].authorization).To(BeEmpty())
			Expect(output.String()).To(
				And(ContainSubstring("front-2 (epoch 3)"), ContainSubstring("over the load bound"), MatchRegexp(`1\.500 +lookup`)),
			)
		})

		It("exits as not found when no front node has the request", func() {
			leader.respondAlways(http.StatusNotFound, rejectionBody("not_found"))
			Expect(run(nil, "explain", "gone", "--front", leader.address)).To(Equal(operator.ExitNotFound))
		})

		It("prints a default bundle that passes validation", func() {
			Expect(run(nil, "bundle", "default", "--number", "3")).To(Equal(operator.ExitDone))
			parsed, err := bundle.Parse(output.Bytes())
			Expect(err).NotTo(HaveOccurred())
			_, checkFaults := bundle.Check(nil, parsed)
			Expect(checkFaults).To(BeEmpty())
		})

		It("writes a completion script", func() {
			Expect(run(nil, "completion", "bash")).To(Equal(operator.ExitDone))
			Expect(output.String()).To(ContainSubstring("__start_rosestand"))
		})
	})
})

// unusedAddress returns an address that nothing listens on.
func unusedAddress() string {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
