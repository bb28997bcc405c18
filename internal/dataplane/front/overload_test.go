package front_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a front node under more load than its servers' capacity", func() {
	var r *rig
	var f1 *node

	BeforeEach(func() {
		r = newRig()
		f1 = r.front("f1")
	})

	// capacity changes what the servers announce.
	capacity := func(slots uint32) {
		next := proto.CloneOf(r.view.BackEnds)
		next.Version++
		for _, server := range next.BackEnds {
			server.Capacity = slots
		}
		r.put(&corelink.View{Configuration: r.view.Configuration, Membership: r.view.Membership, BackEnds: next})
	}

	It("sends a server little more than its concurrency limit and queues the rest by class", func() {
		var under atomic.Int32
		release, arrived := make(chan struct{}), make(chan string, 64)
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			under.Add(1)
			arrived <- request.Header.Get("Rosestand-Session")
			<-release
			under.Add(-1)
			modelAnswer("in")(writer, request)
		})
		capacity(2)
		answered := make(chan answer, 64)
		submit := func(session, priority string) {
			go func() {
				defer GinkgoRecover()
				answered <- f1.turn(turnBody(session, `,"priority":"`+priority+`"`), nil)
			}()
		}
		for at := range 10 {
			submit(fmt.Sprint("probe", at), "probe")
		}
		for range 3 {
			Eventually(arrived).Should(Receive())
		}
		Consistently(arrived, 20*time.Millisecond).ShouldNot(Receive(), "three for two slots: one is next in line")
		Expect(under.Load()).To(BeEquivalentTo(3))
		close(release)
		for range 10 {
			var served answer
			Eventually(answered).Should(Receive(&served))
			Expect(served.status).To(Equal(http.StatusOK))
		}
	})

	It("leaves capacity for other front nodes' requests in flight, by recent load reports", func() {
		arrived := make(chan struct{}, 64)
		r.backEnd("m1", modelServer, func(_ http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			<-request.Context().Done()
		})
		capacity(8)
		members := &protocol.MembershipView{Version: 9}
		for _, name := range []string{"f1", "f2", "f3", "f4"} {
			members.Nodes = append(members.Nodes, &protocol.Node{Name: name, Kind: protocol.NodeKind_FRONT})
		}
		r.put(&corelink.View{Configuration: r.view.Configuration, Membership: members, BackEnds: r.view.BackEnds})
		r.setLoad("m1", `{"running":8,"queued":4,"capacity":8}`)
		Eventually(func() int {
			if r.clock.awaitsSample() {
				r.clock.advance(200 * time.Millisecond)
			}
			return r.loadRequestCount("m1")
		}).Should(BeNumerically(">=", 2), "the load of a server without answers is asked for")
		Eventually(r.clock.awaitsSample).Should(BeTrue(), "the answer was taken")
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		for at := range 10 {
			go func() { f1.sendUntilDone(ctx, turnBody(fmt.Sprint("s", at), "")) }()
		}
		for range 3 {
			Eventually(arrived).Should(Receive())
		}
		Consistently(arrived, 20*time.Millisecond).ShouldNot(Receive(), "a quarter of one and a half times eight")
	})

	It("requests load reports from a bounded number of servers, only those of its subset", func() {
		for at := range 40 {
			r.backEnd(fmt.Sprint("m", at), modelServer, modelAnswer("in"))
		}
		const rounds = 200
		for range rounds {
			Eventually(r.clock.awaitsSample).Should(BeTrue())
			r.clock.advance(150 * time.Millisecond)
		}
		total, servers := 0, 0
		for at := range 40 {
			if count := r.loadRequestCount(fmt.Sprint("m", at)); count > 0 {
				total, servers = total+count, servers+1
			}
		}
		Expect(total).To(BeNumerically("<=", rounds))
		Expect(servers).To(BeNumerically("<=", 16))
		Expect(servers).To(BeNumerically(">", 1))
	})

	It("rejects requests without capacity by one ledger operation, and only those with a key", func() {
		arrived := make(chan struct{}, 8)
		finished := make(chan struct{})
		// A request that waited may reach the server once the first caller has left.
		defer close(finished)
		r.backEnd("m1", modelServer, func(_ http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			select {
			case <-request.Context().Done():
			case <-finished:
			}
		})
		next := proto.CloneOf(r.view.Configuration)
		next.Version++
		next.Active.Limits.MaxConcurrent, next.Active.Limits.MaxQueued = 1, 1
		r.put(&corelink.View{Configuration: next, Membership: r.view.Membership, BackEnds: r.view.BackEnds})
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		go f1.sendUntilDone(ctx, turnBody("runs", ""))
		Eventually(arrived).Should(Receive())
		// The queue has capacity for one of two.
		answered := make(chan answer, 2)
		for _, session := range []string{"w1", "w2"} {
			go func() {
				defer GinkgoRecover()
				answered <- f1.turn(turnBody(session, ""), nil)
			}()
		}
		var firstRejection answer
		Eventually(answered).Should(Receive(&firstRejection))
		Expect(firstRejection.errorCode()).To(Equal("overloaded"))
		claims := r.ledger.count("ClaimSession")
		rejection := f1.turn(turnBody("s1", ""), headers{"Idempotency-Key": "k1"})
		Expect(rejection.outcome()).To(Equal("not_run"))
		Expect(rejection.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(r.ledger.count("RefuseRequest")).To(Equal(1))
		Expect(f1.turn(turnBody("s2", ""), nil).outcome()).To(Equal("not_run"))
		Expect(r.ledger.count("RefuseRequest")).To(Equal(1))
		Expect(r.ledger.count("ClaimSession")).To(Equal(claims), "a rejected turn claims nothing")
	})

	It("does not delay a rejection for a slow ledger, and answers unknown when it cannot tell", func() {
		r.ledger.holdRejections = make(chan struct{})
		defer close(r.ledger.holdRejections)
		arrived := make(chan struct{}, 8)
		finished := make(chan struct{})
		// A request that waited may reach the server once the first caller has left.
		defer close(finished)
		r.backEnd("m1", modelServer, func(_ http.ResponseWriter, request *http.Request) {
			arrived <- struct{}{}
			select {
			case <-request.Context().Done():
			case <-finished:
			}
		})
		next := proto.CloneOf(r.view.Configuration)
		next.Version++
		next.Active.Limits.MaxConcurrent, next.Active.Limits.MaxQueued = 1, 1
		r.put(&corelink.View{Configuration: next, Membership: r.view.Membership, BackEnds: r.view.BackEnds})
		ctx, disconnect := context.WithCancel(context.Background())
		defer disconnect()
		go f1.sendUntilDone(ctx, turnBody("runs", ""))
		Eventually(arrived).Should(Receive())
		answered := make(chan answer, 2)
		for _, key := range []string{"k1", "k2"} {
			go func() {
				defer GinkgoRecover()
				answered <- f1.turn(turnBody(key, ""), headers{"Idempotency-Key": key})
			}()
		}
		Eventually(r.clock.isSet).WithArguments(front.TombstoneTimeout).Should(BeTrue())
		r.clock.advance(front.TombstoneTimeout)
		var rejection answer
		Eventually(answered).Should(Receive(&rejection))
		Expect(rejection.errorCode()).To(Equal("overloaded"))
		Expect(rejection.outcome()).To(Equal("unknown"))
		Expect(rejection.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("frees the servers of all callers that disconnect", func() {
		var started, freed atomic.Int32
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			started.Add(1)
			if request.Header.Get("Rosestand-Session") == "last" {
				modelAnswer("in")(writer, request)
				return
			}
			writeWords(writer, "one")
			<-request.Context().Done()
			freed.Add(1)
		})
		ctx, disconnect := context.WithCancel(context.Background())
		for at := range 60 {
			go f1.sendUntilDone(ctx, turnBody(fmt.Sprint("s", at), `,"stream":true,"max_output_tokens":8`))
		}
		const maxConcurrent = 24
		Eventually(started.Load).Should(BeEquivalentTo(maxConcurrent))
		disconnect()
		// One that waited may begin in a released slot before the disconnect of its own caller is observed.
		Eventually(func() int32 { return started.Load() - freed.Load() }).Should(BeZero())
		Expect(f1.turn(turnBody("last", `,"max_output_tokens":8`), nil).status).To(Equal(http.StatusOK))
		Eventually(func() int32 { return started.Load() - freed.Load() }).Should(BeEquivalentTo(1),
			"only the last one is not freed")
	})

	It("frees the server of a caller that stops reading, long before the answer's end", func() {
		const wordBytes = 16 << 10
		word := strings.Repeat("w", wordBytes)
		var written atomic.Int32
		freed := make(chan struct{})
		r.backEnd("m1", modelServer, func(writer http.ResponseWriter, request *http.Request) {
			defer close(freed)
			for request.Context().Err() == nil && written.Load() < 4000 {
				writeWords(writer, word)
				written.Add(1)
			}
		})
		response := f1.open(context.Background(), http.MethodPost, "/v1/responses", turnBody("s1", `,"stream":true`), nil)
		defer func() { _ = response.Body.Close() }()
		Expect(readEvents(bufio.NewReader(response.Body), 1)).To(HaveLen(1))
		Eventually(freed, "2m").Should(BeClosed())
		Expect(written.Load()).To(BeNumerically("<", 3500))
	})
})

// sendUntilDone sends a turn and reads its answer until the context ends.
func (n *node) sendUntilDone(ctx context.Context, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.server.URL+"/v1/responses", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Rosestand-Tenant", tenant)
	response, err := n.server.Client().Do(request)
	if err != nil {
		return
	}
	<-ctx.Done()
	_ = response.Body.Close()
}
