package front_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	stepModel = "advisor"
	stepName  = "run-1/step-7"
)

// weightsServer is a server of HTTP routes whose weights change while it serves, as in a roll-out.
type weightsServer struct {
	*standIn
	weights atomic.Uint64
	// ran counts the generations that it did not reject.
	ran atomic.Int32
}

// weightsServer adds a server that announces and has a version. It rejects requests that expect another one.
func (r *rig) weightsServer(id string, version uint64) *weightsServer {
	return r.weightsServerWith(id, version, func(server *weightsServer, writer http.ResponseWriter,
		request *http.Request,
	) {
		writer.Header().Set(testDialect.WeightVersions, strconv.FormatUint(server.weights.Load(), 10))
		turnServer(writer, request)
	})
}

// weightsServerWith adds a server with its own handler for what it does not reject.
func (r *rig) weightsServerWith(
	id string, version uint64, answer func(*weightsServer, http.ResponseWriter, *http.Request),
) *weightsServer {
	server := &weightsServer{}
	server.weights.Store(version)
	server.standIn = r.server(id, func(writer http.ResponseWriter, request *http.Request) {
		expected := request.Header.Get(testDialect.ExpectedWeights)
		if expected != "" && expected != strconv.FormatUint(server.weights.Load(), 10) {
			rejectWith(http.StatusMisdirectedRequest, "")(writer, request)
			return
		}
		server.ran.Add(1)
		answer(server, writer, request)
	})
	r.announceWeights(id, version)
	return server
}

// announceWeights changes the version that a server announces.
func (r *rig) announceWeights(id string, version uint64) {
	r.changeServer(id, func(server *protocol.BackEnd) {
		server.Models = []string{stepModel}
		server.ModelVersions = map[string]uint64{stepModel: version}
	})
}

// stepTurn is a generation of the step, in a program of its own.
func stepTurn(id string) routed {
	return stepTurnOf(stepName, id)
}

func stepTurnOf(step, id string) routed {
	return routed{target: turnPath, body: "input", headers: with(testDialect.RequestID, id, testDialect.Program, "p-"+id,
		testDialect.TokenUsage, "10,8", testDialect.TrainingStep, step)}
}

// onStream moves a turn to the route that retains no turns.
func onStream(sent routed) routed {
	sent.target = streamPath
	return sent
}

// onModel names the model of a generation.
func onModel(model string, sent routed) routed {
	sent.headers.Set(testDialect.TrainingModel, model)
	return sent
}

// generate sends a generation that must be answered completely.
func (n *node) generate(sent routed) {
	GinkgoHelper()
	got := n.route(sent)
	Expect(got.status).To(Equal(http.StatusOK), got.body)
	Expect(got.broken).NotTo(HaveOccurred())
}

// expectUnavailable checks an answer that no server has the step's version.
func expectUnavailable(got routedAnswer) {
	GinkgoHelper()
	Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
	Expect(got.body).To(HavePrefix("step_version_unavailable: "))
	Expect(got.header).To(HaveKeyWithValue("Retry-After", []string{"1.000"}))
}

// tracedRequest is what the ledger received at the end of a request.
type tracedRequest struct {
	versions  []uint64
	completed bool
	tokens    uint64
}

// generations are those of a program of a step on one version.
type generations struct{ version, completed, discarded uint64 }

// generations returns what the ledger counted for a program.
func (l *memoryLedger) generations(program string) []generations {
	var counted []generations
	for _, each := range l.program(program).GetTrainingStep().GetGenerations() {
		counted = append(counted, generations{each.GetWeightVersion(), each.GetCompleted(), each.GetDiscarded()})
	}
	return counted
}

// traceLedger records what the ledger receives at each request's end.
func (r *rig) traceLedger() func(id string) tracedRequest {
	operations := make(chan *protocol.LedgerOperation, 4096)
	r.ledger.intercept = func(operation *protocol.LedgerOperation) *protocol.LedgerResult {
		operations <- operation
		return nil
	}
	traced := make(map[string]tracedRequest)
	return func(id string) tracedRequest {
		for len(operations) > 0 {
			operation := <-operations
			if commit := operation.GetSettleTurn(); commit != nil {
				traced[commit.GetRequestId()] = tracedRequest{
					versions: commit.GetWeightVersions(), completed: true,
					tokens: commit.GetTokens(),
				}
			}
			if release := operation.GetReleaseTurn(); release != nil {
				traced[release.GetRequestId()] = tracedRequest{
					versions: release.GetWeightVersions(), completed: release.GetCompleted(), tokens: release.GetTokens(),
				}
			}
		}
		return traced[id]
	}
}

// streamNaming streams a head that names a version, then these blocks.
func streamNaming(writer http.ResponseWriter, request *http.Request, version string, blocks ...string) {
	if version != "" {
		writer.Header().Set(testDialect.WeightVersions, version)
	}
	streamHead(writer, request)
	for _, block := range blocks {
		_, _ = io.WriteString(writer, block)
		writer.(http.Flusher).Flush()
	}
}

// waitingLive and waitingSteps are the numbers of requests that wait at a front node.
func (n *node) waitingLive(group string) int { return front.WaitingLive(n.service, group) }

func (n *node) waitingSteps() int { return front.WaitingSteps(n.service) }
