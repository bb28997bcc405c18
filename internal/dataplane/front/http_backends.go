package front

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/dataplane/front/callerapi"
	"github.com/rosestand/rosestand/internal/dataplane/front/heartbeat"
	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	maxBackEndNames      = 1024
	drainTimeoutAll      = 30 * time.Second
	explainTimeout       = time.Second
	maxConcurrentQueries = 16
	coreRetry            = time.Second
)

// heartbeatBody is the body of POST /v1/backends/heartbeat.
type heartbeatBody struct {
	ID          string   `json:"id"`
	Kind        string   `json:"kind"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Group       string   `json:"group"`
	Models      []string `json:"models"`
	Tools       []string `json:"tools"`
	Incarnation uint64   `json:"incarnation"`
	Capacity    uint32   `json:"capacity"`
	State       string   `json:"state"`
}

type heartbeatAnswer struct {
	IntervalSeconds uint32 `json:"interval_seconds"`
}

type drainRequestBody struct {
	Incarnation uint64 `json:"incarnation"`
}

type drainAnswer struct {
	ViewVersion uint64 `json:"view_version"`
}

var backEndStates = map[string]protocol.BackEndState{
	"": protocol.BackEndState_READY, "READY": protocol.BackEndState_READY, "DRAINING": protocol.BackEndState_DRAINING,
}

func parseHeartbeat(text []byte) (*protocol.BackEnd, error) {
	var body heartbeatBody
	if err := callerapi.DecodeStrict(text, "", &body); err != nil {
		return nil, err
	}
	kind := protocol.BackEndKind(protocol.BackEndKind_value[body.Kind])
	state, knownState := backEndStates[body.State]
	_, addressError := netip.ParseAddrPort(body.Address)
	switch {
	case body.ID == "":
		return nil, callerapi.MissingField("id")
	case len(body.ID) > callerapi.MaxIdentifierBytes:
		return nil, callerapi.TooLong("id")
	case kind == protocol.BackEndKind_BACK_END_KIND_UNSPECIFIED:
		return nil, callerapi.InvalidField("kind", "must be MODEL_SERVER or TOOL_SERVER")
	case addressError != nil:
		return nil, callerapi.InvalidField("address", "must be an IP address and a port")
	case body.Group == "":
		return nil, callerapi.MissingField("group")
	case body.Incarnation == 0:
		return nil, callerapi.MissingField("incarnation")
	case kind == protocol.BackEndKind_MODEL_SERVER && len(body.Models) == 0:
		return nil, callerapi.MissingField("models")
	case kind == protocol.BackEndKind_TOOL_SERVER && len(body.Tools) == 0:
		return nil, callerapi.MissingField("tools")
	case len(body.Models)+len(body.Tools) > maxBackEndNames:
		return nil, callerapi.InvalidField("models", "names too many models and tools")
	case !knownState:
		return nil, callerapi.InvalidField("state", "must be READY or DRAINING")
	}
	return &protocol.BackEnd{
		Id: body.ID, Kind: kind, State: state, Address: body.Address, Zone: body.Zone, Region: body.Region, Group: body.Group,
		Models: body.Models, Tools: body.Tools, Incarnation: body.Incarnation, Capacity: body.Capacity,
	}, nil
}

// postHeartbeat relays a back end's heartbeat to the core.
func (a *api) postHeartbeat(c *gin.Context) {
	text, err := callerapi.ReadBody(c.Request, a.maxBody)
	if err != nil {
		writeError(c, err)
		return
	}
	backEnd, err := parseHeartbeat(text)
	if err != nil {
		writeError(c, err)
		return
	}
	ctx, cancel := a.service.clock.WithTimeout(c.Request.Context(), heartbeat.Timeout+time.Second)
	defer cancel()
	answer := a.service.heartbeats.Relay(ctx, backEnd)
	if answer.Err != nil {
		writeError(c, coreFailure(answer.Err))
		return
	}
	c.JSON(http.StatusOK, heartbeatAnswer{IntervalSeconds: answer.IntervalSeconds})
}

// coreFailure is the failure for an error of a request to the core; such requests are retryable.
func coreFailure(err error) error {
	f := forwardingFailure(err)
	if f.GetOutcome() == protocol.Outcome_NOT_RUN {
		return &failure.Error{Failure: f}
	}
	return failure.New(failure.Unavailable, protocol.Outcome_UNKNOWN, "the core did not answer: "+f.GetMessage(),
		failure.WithRetryAfter(coreRetry))
}

// postDrain has the core drain a back end; the answer confirms that no front node will send it more.
func (a *api) postDrain(c *gin.Context) {
	text, err := callerapi.ReadBody(c.Request, a.maxBody)
	if err != nil {
		writeError(c, err)
		return
	}
	var body drainRequestBody
	if err := callerapi.DecodeStrict(text, "", &body); err != nil {
		writeError(c, err)
		return
	}
	if body.Incarnation == 0 {
		writeError(c, callerapi.MissingField("incarnation"))
		return
	}
	ctx, cancel := a.service.clock.WithTimeout(c.Request.Context(), drainTimeoutAll)
	defer cancel()
	response, err := a.service.link.CallCore(ctx, &protocol.Request{Body: &protocol.Request_DrainBackEnd{
		DrainBackEnd: &protocol.DrainBackEndRequest{Id: c.Param("id"), Incarnation: body.Incarnation},
	}})
	if err != nil {
		writeError(c, coreFailure(err))
		return
	}
	c.JSON(http.StatusOK, drainAnswer{ViewVersion: response.GetDrainBackEnd().GetViewVersion()})
}

// getExplanation gathers what the front nodes know of a request.
func (a *api) getExplanation(c *gin.Context) {
	id := c.Param("id")
	explanations := a.service.explanations.Find(id)
	ctx, cancel := a.service.clock.WithTimeout(c.Request.Context(), explainTimeout)
	defer cancel()
	explanations = append(explanations, a.service.queryPeers(ctx, id, explanations)...)
	if len(explanations) == 0 {
		writeError(c, failure.New(failure.NotFound, protocol.Outcome_NOT_RUN, "no front node remembers the request",
			failure.WithPath("request_id")))
		return
	}
	response := &protocol.ExplainResponse{Explanations: explanations}
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(response)
	if err != nil {
		writeError(c, err)
		return
	}
	c.Data(http.StatusOK, "application/json", text)
}

// queryPeers requests explanations from the owners named by what is known here, or from every front node when
// nothing is.
func (s *Service) queryPeers(ctx context.Context, id string, known []*protocol.Explanation) []*protocol.Explanation {
	peers := s.peersFor(known)
	answers := make([][]*protocol.Explanation, len(peers))
	slots := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for at, address := range peers {
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			response, err := s.caller.Call(ctx, address, &protocol.Request{Body: &protocol.Request_Explain{
				Explain: &protocol.ExplainRequest{RequestId: id},
			}})
			if err == nil {
				answers[at] = response.GetExplain().GetExplanations()
			}
		})
	}
	queries.Wait()
	return slices.Concat(answers...)
}

func (s *Service) peersFor(known []*protocol.Explanation) []string {
	owners := make(map[string]bool)
	for _, explanation := range known {
		owners[explanation.GetOwner()] = true
	}
	var addresses []string
	for _, node := range s.link.View().Membership.GetNodes() {
		if node.GetKind() != protocol.NodeKind_FRONT || node.GetName() == s.name {
			continue
		}
		if len(known) == 0 || owners[node.GetName()] {
			addresses = append(addresses, node.GetAddress())
		}
	}
	return addresses
}
