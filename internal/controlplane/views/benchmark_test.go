package views_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/controlplane/views"
	"github.com/rosestand/rosestand/internal/protocol"
)

// backEndViews returns a view of 600 back ends and its successor, in which one back end changed.
func backEndViews() (base, next *protocol.BackEndView) {
	base = &protocol.BackEndView{Version: 1}
	for number := range 600 {
		base.BackEnds = append(base.BackEnds, &protocol.BackEnd{
			Id: fmt.Sprintf("model-server-%03d", number), Address: fmt.Sprintf("10.0.1.%d:9000", number), Zone: "zone-1",
			Region: "region-1",
			Group:  "assistants", Models: []string{"booking-assistant", "climate-advisor"}, Incarnation: 1_764_650_000_000,
			Capacity: 64,
		})
	}
	next = proto.CloneOf(base)
	next.Version, next.BackEnds[300].State = 2, protocol.BackEndState_DRAINING
	return base, next
}

func BenchmarkMakeDeltaOfOneBackEndOf600(b *testing.B) {
	_, next := backEndViews()
	history := views.NewHistory(1)
	history.Add(2, next.GetBackEnds()[300].GetId())
	for b.Loop() {
		if views.BackEndDelta(next, &history, 1, views.BackEndsChecksum(next.GetBackEnds())) == nil {
			b.Fatal("got no delta of one changed back end out of 600")
		}
	}
}

func BenchmarkApplyDeltaOfOneBackEndOf600(b *testing.B) {
	base, next := backEndViews()
	history := views.NewHistory(1)
	history.Add(2, next.GetBackEnds()[300].GetId())
	delta := views.BackEndDelta(next, &history, 1, views.BackEndsChecksum(next.GetBackEnds()))
	for b.Loop() {
		if _, err := views.ApplyBackEnds(base, delta); err != nil {
			b.Fatal(err)
		}
	}
}
