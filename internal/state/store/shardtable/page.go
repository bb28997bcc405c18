package shardtable

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/turnindex"
)

const (
	// defaultPageItems and maxPageBytes bound one page of a shard.
	defaultPageItems = 512
	maxPageBytes     = 2 << 20
	// maxPageScan bounds the entries that the owner of a shard scans for one page, since a
	// filter may exclude most of them.
	maxPageScan = 8192
)

// bucketFilter selects some of the buckets of a digest; the zero filter selects all.
type bucketFilter struct {
	buckets uint32
	only    map[uint32]bool
}

func newBucketFilter(request *protocol.FetchShardRequest) bucketFilter {
	if request.GetBuckets() == 0 {
		return bucketFilter{}
	}
	filter := bucketFilter{buckets: request.GetBuckets(), only: map[uint32]bool{}}
	for _, bucket := range request.GetOnly() {
		filter.only[bucket] = true
	}
	return filter
}

func (f bucketFilter) matches(hash uint64) bool {
	return f.buckets == 0 || f.only[uint32(hash%uint64(f.buckets))]
}

// registerPage contains the next registers in order.
type registerPage struct {
	states []*protocol.RegisterState
	// lastScanned is the last register that was scanned, whether or not the page includes it.
	lastScanned Key
	last        bool
}

func (t *Table) registersAfter(after Key, limit int, filter bucketFilter) registerPage {
	var page registerPage
	size, scanned := 0, 0
	for key, register := range t.Registers.After(after) {
		if len(page.states) == limit || size > maxPageBytes || scanned == maxPageScan {
			return page
		}
		scanned++
		page.lastScanned = key
		if register.State.Accepted.IsZero() || !filter.matches(key.bucketHash()) {
			continue
		}
		state := register.State.ToProto(key.ToProto())
		page.states = append(page.states, state)
		size += len(state.GetValue())
	}
	page.last = true
	return page
}

// turnPage contains the index entries of the next turns in order; the turns are yet to be read from disk.
type turnPage struct {
	keys    []turnindex.Key
	entries []turnindex.Entry
	// lastScanned is the last turn that was scanned, whether or not the page includes it.
	lastScanned turnindex.Key
	last        bool
}

func (t *Table) turnsAfter(after turnindex.Key, limit int, filter bucketFilter) turnPage {
	var page turnPage
	scanned := 0
	for key, entry := range t.Turns.After(after) {
		if len(page.keys) == limit || scanned == maxPageScan {
			return page
		}
		scanned++
		page.lastScanned = key
		if filter.matches(key.TurnHash) {
			page.keys = append(page.keys, key)
			page.entries = append(page.entries, entry)
		}
	}
	page.last = true
	return page
}

// Page is one page of a shard as its owner returns it. ReadTurns adds the turns, from disk.
type Page struct {
	// Answer contains the registers of the page, or a rejection.
	Answer *protocol.FetchShardResponse
	turns  turnPage
}

// Page returns the registers after the cursor, or the index entries of the turns after it.
func (t *Table) Page(request *protocol.FetchShardRequest, after Cursor) Page {
	answer := &protocol.FetchShardResponse{
		Refusal: t.View.CopyRejection(request.GetPlacementEpoch()), PlacementEpoch: t.View.Epoch,
	}
	if answer.GetRefusal() != notRejected {
		return Page{Answer: answer}
	}
	limit := int(request.GetLimit())
	if limit <= 0 || limit > defaultPageItems {
		limit = defaultPageItems
	}
	filter := newBucketFilter(request)
	if after.InTurns {
		return Page{Answer: answer, turns: t.turnsAfter(after.Turn, limit, filter)}
	}
	registers := t.registersAfter(after.Register, limit, filter)
	answer.Registers = registers.states
	answer.Next = Cursor{InTurns: true}.Encode()
	if !registers.last {
		answer.Next = Cursor{Register: registers.lastScanned}.Encode()
	}
	return Page{Answer: answer}
}

// ReadTurns reads the turns of the page from disk into its Answer, until the page is full. read
// returns nil for a turn that was removed meanwhile. Any goroutine may call ReadTurns.
func (p Page) ReadTurns(read func(turnindex.Entry) (*protocol.Turn, error)) error {
	size := 0
	for i, entry := range p.turns.entries {
		turn, err := read(entry)
		if err != nil {
			return err
		}
		if turn != nil {
			p.Answer.Turns = append(p.Answer.Turns, turn)
			size += proto.Size(turn)
		}
		if size > maxPageBytes && i+1 < len(p.turns.entries) {
			p.Answer.Next = Cursor{InTurns: true, Turn: p.turns.keys[i]}.Encode()
			return nil
		}
	}
	p.Answer.Last = p.turns.last
	if !p.turns.last {
		p.Answer.Next = Cursor{InTurns: true, Turn: p.turns.lastScanned}.Encode()
	}
	return nil
}
