package chaos

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rosestand/rosestand/internal/controlplane/bundle"
	"github.com/rosestand/rosestand/internal/operator/apiclient"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/lab/audit"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

const (
	orderInterval = 4 * time.Second
	orderTimeout  = 15 * time.Second
	maxBundles    = 10_000
)

// Operators are two operators who race for each next version of the bundle,
// send orders again as if the answers had been lost, sign the winner off and
// list what there is.
type Operators struct {
	// Cores are the HTTP addresses of the core; replaced members are found through the others.
	Cores []string
	Token string
	// Sign signs a merged digest off.
	KeyName string
	Sign    func(mergedDigest string) string
	Logger  *log.Logger

	orders []audit.Order
	serial int
}

// Run sends orders until the context ends and returns all of them with their answers.
func (o *Operators) Run(ctx context.Context) []audit.Order {
	for range maxBundles {
		if !wait.For(ctx, orderInterval) {
			break
		}
		o.race(ctx)
	}
	return o.orders
}

// round is one version: a race, a repeat, a sign-off and a listing.
func (o *Operators) race(ctx context.Context) {
	version, active, err := o.list(ctx)
	if err != nil {
		o.Logger.Debug("listing failed", "err", err)
		return
	}
	next := version + 1
	first, second := o.put(active, next), o.put(active, next)
	var race sync.WaitGroup
	race.Go(func() { o.send(ctx, first) })
	race.Go(func() { o.send(ctx, second) })
	race.Wait()
	o.record(first, second)
	for _, attempt := range []*attempt{first, second} {
		if attempt.order.Outcome == audit.OrderAcknowledged || attempt.order.Outcome == audit.OrderUnknown {
			again := *attempt
			o.send(ctx, &again)
			o.record(&again)
		}
	}
	if ctx.Err() == nil {
		o.signOff(ctx, next)
	}
}

// attempt is one sending of an order.
type attempt struct {
	order   audit.Order
	request apiclient.Request
	answer  []byte
}

func (o *Operators) record(attempts ...*attempt) {
	for _, attempt := range attempts {
		o.orders = append(o.orders, attempt.order)
	}
}

func (o *Operators) orderID() string {
	o.serial++
	return fmt.Sprintf("lab-%d-%d", time.Now().UnixNano(), o.serial)
}

// put makes an order of a partial bundle on the base; each has other content.
func (o *Operators) put(base, version uint64) *attempt {
	id := o.orderID()
	limits := bundle.Default(version).GetLimits()
	limits.MaxQueued += uint32(o.serial)
	body, err := protojson.Marshal(&protocol.Bundle{Version: version, BaseVersion: base, Partial: true, Limits: limits})
	if err != nil {
		o.Logger.Error("bundle encoding failed", "err", err)
	}
	content := sha256.Sum256(fmt.Appendf(nil, "%d/%d/%d", base, version, limits.GetMaxQueued()))
	return &attempt{
		order: audit.Order{ID: id, Kind: audit.OrderPut, Version: version, Content: hex.EncodeToString(content[:])},
		request: apiclient.Request{
			Method: http.MethodPut, Path: fmt.Sprintf("/v1/bundles/%d", version), OrderID: id, Body: body,
		},
	}
}

func (o *Operators) send(ctx context.Context, sent *attempt) {
	client := apiclient.New(apiclient.Options{Addresses: o.Cores, Token: o.Token, Timeout: orderTimeout})
	defer client.Close()
	sent.order.SentAt = time.Now()
	var err error
	sent.answer, err = client.Do(ctx, sent.request)
	sent.order.AnsweredAt = time.Now()
	var rejected *apiclient.RejectedError
	switch {
	case err == nil:
		sent.order.Outcome = audit.OrderAcknowledged
	case errors.As(err, &rejected) && rejected.Detail.Outcome == "not_run":
		sent.order.Outcome = audit.OrderRejected
		sent.order.Code = rejected.Detail.Code
	default:
		sent.order.Outcome = audit.OrderUnknown
	}
}

func (o *Operators) signOff(ctx context.Context, version uint64) {
	shown := &attempt{request: apiclient.Request{Method: http.MethodGet, Path: fmt.Sprintf("/v1/bundles/%d", version)}}
	o.send(ctx, shown)
	var answer struct {
		Status json.RawMessage `json:"status"`
	}
	status := &protocol.BundleStatus{}
	if json.Unmarshal(shown.answer, &answer) != nil || protojson.Unmarshal(answer.Status, status) != nil {
		return
	}
	body, err := protojson.Marshal(&protocol.SignBundleCommand{
		Version: version, KeyName: o.KeyName, Signature: o.Sign(status.GetMergedDigest()),
	})
	if err != nil {
		return
	}
	id := o.orderID()
	sign := &attempt{
		order: audit.Order{ID: id, Kind: audit.OrderSign, Version: version},
		request: apiclient.Request{
			Method: http.MethodPost, Path: fmt.Sprintf("/v1/bundles/%d/sign", version), OrderID: id, Body: body,
		},
	}
	o.send(ctx, sign)
	o.record(sign)
}

// list requests all versions and returns the newest and the one in force.
func (o *Operators) list(ctx context.Context) (newest, active uint64, err error) {
	listing := &attempt{
		order:   audit.Order{Kind: audit.OrderList},
		request: apiclient.Request{Method: http.MethodGet, Path: "/v1/bundles"},
	}
	o.send(ctx, listing)
	var answer struct {
		Newest  uint64            `json:"newest"`
		Active  uint64            `json:"active"`
		Bundles []json.RawMessage `json:"bundles"`
	}
	if err := json.Unmarshal(listing.answer, &answer); err != nil {
		return 0, 0, errors.Wrap(err, "decode listing")
	}
	for _, raw := range answer.Bundles {
		status := &protocol.BundleStatus{}
		if err := protojson.Unmarshal(raw, status); err != nil {
			return 0, 0, errors.Wrap(err, "decode bundle")
		}
		listing.order.Listed = append(listing.order.Listed, status.GetVersion())
	}
	listing.order.Newest, listing.order.Active = answer.Newest, answer.Active
	o.record(listing)
	return answer.Newest, answer.Active, nil
}
