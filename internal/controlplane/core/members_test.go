package core_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/controlplane/core/operators"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("orders about members of the core", func() {
	var f *fleet
	var leader *member
	const address = "10.0.0.7:7000"
	BeforeEach(func() {
		tokens, err := operators.ParseTokens([]byte("ann " + strings.Repeat("t", 32) + "\n"))
		Expect(err).NotTo(HaveOccurred())
		f = newFleet(1, func(options *core.Options) { options.Tokens = tokens })
		leader = f.lead(f.members[0])
		f.advance(100 * time.Millisecond)
		leader.reachable = map[string]*protocol.CoreMember{address: {Id: 7, Name: "core-7", Address: address}}
	})
	send := func(method, path, order, body string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+strings.Repeat("t", 32))
		request.Header.Set("Rosestand-Order", order)
		recorder := httptest.NewRecorder()
		leader.service.ServeHTTP(recorder, request)
		return recorder
	}
	add := func(order string) *httptest.ResponseRecorder {
		return send("POST", "/v1/core/members", order, `{"address":"`+address+`"}`)
	}
	remove := func(order string) *httptest.ResponseRecorder {
		return send("DELETE", "/v1/core/members/core-7", order, "")
	}

	It("are rejected as not run, with a typed error, if no core process responds at the address", func() {
		leader.reachable = nil
		answer := add("a1")
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable), answer.Body.String())
		Expect(answer.Body.String()).To(And(ContainSubstring(`"code":"unavailable"`),
			ContainSubstring(`"outcome":"not_run"`), ContainSubstring(`"path":"address"`)))
	})

	It("do not remove a member that joined again under the same name when a removal is repeated", func() {
		Expect(add("a1").Code).To(Equal(http.StatusOK))
		first := remove("r1")
		Expect(first.Code).To(Equal(http.StatusOK), first.Body.String())
		Expect(leader.members).To(BeEmpty())
		leader.members = []*protocol.CoreMember{{Id: 8, Name: "core-7", Address: address}}
		leader.restart()
		Expect(remove("r1").Body.String()).To(Equal(first.Body.String()))
		Expect(leader.members).To(HaveLen(1))
		Expect(remove("r2").Code).To(Equal(http.StatusOK))
		Expect(leader.members).To(BeEmpty())
	})

	It("do not undo a later order when an earlier one is repeated", func() {
		added := add("a1")
		Expect(remove("r1").Code).To(Equal(http.StatusOK))
		Expect(add("a1").Body.String()).To(Equal(added.Body.String()))
		Expect(leader.members).To(BeEmpty(), "the removal came after the addition")
		Expect(add("a2").Code).To(Equal(http.StatusOK))
		leader.restart()
		Expect(remove("r1").Code).To(Equal(http.StatusOK))
		Expect(leader.members).To(HaveLen(1), "the second addition came after the removal")
	})

	It("are acknowledged again although the process is unreachable by then, and rejected with other content", func() {
		first := add("a1")
		leader.reachable = nil
		Expect(add("a1").Body.String()).To(Equal(first.Body.String()))
		Expect(leader.members).To(HaveLen(1))
		other := send("POST", "/v1/core/members", "a1", `{"address":"10.0.0.8:7000"}`)
		Expect(other.Body.String()).To(ContainSubstring(`"code":"invalid_order"`))
	})

	It("keep the result of a removal that found no member", func() {
		Expect(remove("r1").Body.String()).To(ContainSubstring(`"removed":false`))
		Expect(add("a1").Code).To(Equal(http.StatusOK))
		Expect(remove("r1").Body.String()).To(ContainSubstring(`"removed":false`))
		Expect(leader.members).To(HaveLen(1))
	})
})
