package front_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/serverhealth"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

// sharedBoard is what the core's leader does with reports of several front nodes.
type sharedBoard struct {
	clock *manualClock

	mutex    sync.Mutex
	board    serverhealth.Detector
	reported map[string]uint32
	// lost makes reports arrive and their answers get lost.
	lost bool
}

var errAnswerLost = errors.New("the answer was lost")

func (s *sharedBoard) share(report *protocol.ShareOutcomesRequest) (*protocol.ShareOutcomesResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lost {
		return nil, errAnswerLost
	}
	observed := serverhealth.Report{Node: report.GetNode(), Zone: report.GetZone()}
	for _, outcome := range report.GetOutcomes() {
		s.reported[report.GetNode()] += outcome.GetAnswered() + outcome.GetFaults()
		observed.Outcomes = append(observed.Outcomes, serverhealth.Outcomes{
			Server: outcome.GetId(), Incarnation: outcome.GetIncarnation(),
			Answered: outcome.GetAnswered(), Faults: outcome.GetFaults(), Overdue: outcome.GetOverdue(),
			Responded: outcome.SignAgeMillis != nil, ResponseAge: time.Duration(outcome.GetSignAgeMillis()) * time.Millisecond,
		})
	}
	s.board.Merge(observed, s.clock.Now())
	answer := &protocol.ShareOutcomesResponse{}
	for _, suspect := range s.board.Ejected(report.GetZone(), s.clock.Now()) {
		answer.Suspects = append(answer.Suspects, &protocol.SuspectBackEnd{
			Id: suspect.Server, Incarnation: suspect.Incarnation, LeftMillis: uint32(suspect.Remaining / time.Millisecond),
		})
	}
	return answer, nil
}

func (s *sharedBoard) reports(node string) uint32 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reported[node]
}

var _ = Describe("server outcomes shared by front nodes", func() {
	var r *rig
	var board *sharedBoard
	BeforeEach(func() {
		r = newRouteRig()
		board = &sharedBoard{clock: r.clock, reported: map[string]uint32{}}
	})
	sharingFront := func(name string) *node {
		f := r.front(name)
		f.link.mutex.Lock()
		f.link.shared = board.share
		f.link.mutex.Unlock()
		return f
	}
	// share makes all front nodes report once.
	share := func(nodes ...*node) {
		GinkgoHelper()
		for range 2 {
			Eventually(r.clock.countSet).WithArguments(front.ShareTick).Should(Equal(len(nodes)))
			r.clock.advance(front.ShareTick)
		}
		Eventually(r.clock.countSet).WithArguments(front.ShareTick).Should(Equal(len(nodes)))
	}

	It("keep a front node off a server whose faults only others observed", func() {
		broken := r.server("broken", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		f1, f2, f3 := sharingFront("f1"), sharingFront("f2"), sharingFront("f3")
		for range 2 {
			f1.route(routed{target: nonRepeatablePath})
			f2.route(routed{target: nonRepeatablePath})
		}
		Expect(count(broken)).To(Equal(4))
		share(f1, f2, f3)
		// f3 learns of it with its own first report.
		good := r.server("good", answerWith(http.StatusOK, "ok"))
		Expect(f3.route(routed{target: repeatablePath}).status).To(Equal(http.StatusOK))
		r.clock.advance(front.ShareInterval)
		share(f1, f2, f3)
		before := count(broken)
		for range 20 {
			Expect(f3.route(routed{target: nonRepeatablePath}).status).To(Equal(http.StatusOK))
		}
		Expect(count(broken)).To(Equal(before))
		Expect(count(good)).To(BeNumerically(">=", 20))
	})

	It("make a front node avoid at once a server that the leader suspects, without traffic of its own", func() {
		suspect := r.server("suspect", answerWith(http.StatusOK, "ok"))
		good := r.server("good", answerWith(http.StatusOK, "ok"))
		response := make(chan *protocol.WatchSuspectsResponse)
		requests := make(chan uint64)
		r.watched = func(ctx context.Context, request *protocol.WatchSuspectsRequest) (*protocol.WatchSuspectsResponse,
			error,
		) {
			select {
			case requests <- request.GetKnown():
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			select {
			case answer := <-response:
				return answer, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		f1 := r.front("f1")
		Eventually(requests).Should(Receive(BeZero()))
		response <- &protocol.WatchSuspectsResponse{Version: 7, Suspects: []*protocol.SuspectBackEnd{{
			Id: "suspect", Incarnation: 1, LeftMillis: 3000,
		}}}
		Eventually(requests).Should(Receive(BeEquivalentTo(7)), "it watches from the version reported")
		for range 20 {
			Expect(f1.route(routed{target: nonRepeatablePath}).status).To(Equal(http.StatusOK))
		}
		Expect(count(suspect)).To(BeZero())
		Expect(count(good)).To(Equal(20))
	})

	It("reveal an unresponsive server before the first request has failed", func() {
		r.server("silent", func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
		f1, f2 := sharingFront("f1"), sharingFront("f2")
		var waiting []<-chan routedAnswer
		for range 2 {
			waiting = append(waiting, f1.routeAside(routed{target: nonRepeatablePath}),
				f2.routeAside(routed{target: nonRepeatablePath}))
		}
		Eventually(func() int64 { return f1.service.UnderWay() + f2.service.UnderWay() }).Should(BeEquivalentTo(4))
		r.server("good", answerWith(http.StatusOK, "ok"))
		r.clock.advance(front.AnswerWithin)
		share(f1, f2)
		for range 20 {
			Expect(f1.route(routed{target: nonRepeatablePath}).status).To(Equal(http.StatusOK))
		}
		r.clock.advance(routeTimeoutMillis * time.Millisecond)
		for _, answered := range waiting {
			Eventually(answered).Should(Receive())
		}
	})

	It("are reported again when the leader may not have received them", func() {
		r.server("good", answerWith(http.StatusOK, "ok"))
		f1 := sharingFront("f1")
		board.mutex.Lock()
		board.lost = true
		board.mutex.Unlock()
		for range 3 {
			Expect(f1.route(routed{target: nonRepeatablePath}).status).To(Equal(http.StatusOK))
		}
		r.clock.advance(front.ShareInterval)
		share(f1)
		Expect(board.reports("f1")).To(BeZero())
		board.mutex.Lock()
		board.lost = false
		board.mutex.Unlock()
		r.clock.advance(front.ShareInterval)
		share(f1)
		Expect(board.reports("f1")).To(BeEquivalentTo(3))
	})

	It("are not reported without traffic", func() {
		r.server("good", answerWith(http.StatusOK, "ok"))
		f1 := sharingFront("f1")
		requests := atomic.Int32{}
		f1.link.mutex.Lock()
		f1.link.shared = func(*protocol.ShareOutcomesRequest) (*protocol.ShareOutcomesResponse, error) {
			requests.Add(1)
			return &protocol.ShareOutcomesResponse{}, nil
		}
		f1.link.mutex.Unlock()
		for range 10 {
			r.clock.advance(front.ShareInterval)
			share(f1)
		}
		Expect(requests.Load()).To(BeZero())
	})
})
