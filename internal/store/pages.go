package store

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	// defaultPageItems and maximumPageBytes bound one page of a shard.
	defaultPageItems = 512
	maximumPageBytes = 2 << 20
	maximumBuckets   = 1 << 16
	registerCursor   = 'r'
	turnCursor       = 't'
)

// cursor is a place in a shard: registers in the order of their keys, then
// turns in the order of theirs. The zero cursor is before all of them.
type cursor struct {
	inTurns  bool
	register registerKey
	turn     turnKey
}

func (c cursor) encode() []byte {
	if c.inTurns {
		encoded := binary.BigEndian.AppendUint64([]byte{turnCursor}, c.turn.high)
		return binary.BigEndian.AppendUint64(encoded, c.turn.low)
	}
	encoded := append([]byte{registerCursor}, c.register.program...)
	encoded = append(encoded, 0)
	return append(encoded, c.register.call...)
}

func decodeCursor(encoded []byte) (cursor, error) {
	switch {
	case len(encoded) == 0:
		return cursor{}, nil
	case encoded[0] == turnCursor && len(encoded) == 17:
		return cursor{inTurns: true, turn: turnKey{
			high: binary.BigEndian.Uint64(encoded[1:]), low: binary.BigEndian.Uint64(encoded[9:]),
		}}, nil
	case encoded[0] == registerCursor:
		if program, call, found := bytes.Cut(encoded[1:], []byte{0}); found {
			return cursor{register: registerKey{program: string(program), call: string(call)}}, nil
		}
	}
	return cursor{}, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "no cursor of a shard", failure.WithPath("fetch_shard.after"))
}

// bucketFilter keeps what falls into some of the buckets of a digest; the zero filter keeps all.
type bucketFilter struct {
	buckets uint32
	only    map[uint32]bool
}

func filterOf(request *protocol.FetchShardRequest) bucketFilter {
	if request.GetBuckets() == 0 {
		return bucketFilter{}
	}
	filter := bucketFilter{buckets: request.GetBuckets(), only: map[uint32]bool{}}
	for _, bucket := range request.GetOnly() {
		filter.only[bucket] = true
	}
	return filter
}

func (f bucketFilter) keeps(hash uint64) bool {
	return f.buckets == 0 || f.only[uint32(hash%uint64(f.buckets))]
}

func (k registerKey) hash() uint64 {
	return xxhash.Sum64String(k.program) ^ xxhash.Sum64String("\x00"+k.call)
}

// registersAfter gives the next registers in order.
func (t *shardTable) registersAfter(after registerKey, limit int, filter bucketFilter) (page []*protocol.RegisterState, last bool) {
	var keys []registerKey
	for key, held := range t.registers {
		if after.less(key) && !held.state.Accepted.IsZero() && filter.keeps(key.hash()) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b registerKey) int {
		if a.less(b) {
			return -1
		}
		return 1
	})
	size := 0
	for _, key := range keys {
		if len(page) == limit || size > maximumPageBytes {
			return page, false
		}
		state := t.registers[key].state.Message(key.message())
		page = append(page, state)
		size += len(state.GetValue())
	}
	return page, true
}

// turnsAfter gives the places of the next turns in order.
func (t *shardTable) turnsAfter(after turnKey, limit int, filter bucketFilter) (keys []turnKey, entries []turnEntry, last bool) {
	for key := range t.turns {
		if after.less(key) && filter.keeps(key.low) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b turnKey) int {
		if a.less(b) {
			return -1
		}
		return 1
	})
	last = len(keys) <= limit
	keys = keys[:min(limit, len(keys))]
	for _, key := range keys {
		entries = append(entries, t.turns[key])
	}
	return keys, entries, last
}

// shardPage is one page as the owner of the shard sees it; turns are still on disk.
type shardPage struct {
	answer  *protocol.FetchShardResponse
	keys    []turnKey
	entries []turnEntry
	last    bool
}

// serveFetchShard answers one page of a shard that this replica holds in full.
func (s *Store) serveFetchShard(request *protocol.FetchShardRequest) (*protocol.Response, error) {
	after, err := decodeCursor(request.GetAfter())
	if err != nil {
		return nil, err
	}
	g := s.group(request.GetShard())
	page, err := ask(g, func() shardPage { return g.table(request.GetShard()).page(request, after) })
	if err != nil {
		return nil, err
	}
	if page.answer.GetRefusal() == notRefused && after.inTurns {
		if err := s.fillTurns(page); err != nil {
			return nil, s.readFailed(err)
		}
	}
	return &protocol.Response{Body: &protocol.Response_FetchShard{FetchShard: page.answer}}, nil
}

// page gives the registers after the cursor, or the places of the turns after it.
func (t *shardTable) page(request *protocol.FetchShardRequest, after cursor) shardPage {
	answer := &protocol.FetchShardResponse{
		Refusal: t.view.CopyRefusal(request.GetPlacementEpoch()), PlacementEpoch: t.view.Epoch,
	}
	if answer.GetRefusal() != notRefused {
		return shardPage{answer: answer}
	}
	limit := int(request.GetLimit())
	if limit <= 0 || limit > defaultPageItems {
		limit = defaultPageItems
	}
	filter := filterOf(request)
	if after.inTurns {
		keys, entries, last := t.turnsAfter(after.turn, limit, filter)
		return shardPage{answer: answer, keys: keys, entries: entries, last: last}
	}
	registers, last := t.registersAfter(after.register, limit, filter)
	answer.Registers = registers
	answer.Next = cursor{inTurns: true}.encode()
	if !last {
		answer.Next = cursor{register: keyOf(registers[len(registers)-1].GetKey())}.encode()
	}
	return shardPage{answer: answer}
}

// fillTurns reads the turns of a page from disk, until the page is full.
func (s *Store) fillTurns(page shardPage) error {
	answer := page.answer
	size := 0
	for i, entry := range page.entries {
		turn, err := s.readTurn(entry, "", "")
		if err != nil {
			return err
		}
		if turn != nil {
			answer.Turns = append(answer.Turns, turn)
			size += proto.Size(turn)
		}
		if size > maximumPageBytes && i+1 < len(page.entries) {
			answer.Next = cursor{inTurns: true, turn: page.keys[i]}.encode()
			return nil
		}
	}
	answer.Last = page.last
	if !page.last {
		answer.Next = cursor{inTurns: true, turn: page.keys[len(page.keys)-1]}.encode()
	}
	return nil
}

// serveShardDigest sums up what this replica holds, by bucket.
func (s *Store) serveShardDigest(request *protocol.ShardDigestRequest) (*protocol.Response, error) {
	if request.GetBuckets() == 0 || request.GetBuckets() > maximumBuckets {
		return nil, failure.New(failure.InvalidField, protocol.Outcome_NOT_RUN, "out of range", failure.WithPath("shard_digest.buckets"))
	}
	g := s.group(request.GetShard())
	answer, err := ask(g, func() *protocol.ShardDigestResponse {
		view := g.table(request.GetShard()).view
		if refusal := view.CopyRefusal(request.GetPlacementEpoch()); refusal != notRefused {
			return &protocol.ShardDigestResponse{Refusal: refusal, PlacementEpoch: view.Epoch}
		}
		return g.table(request.GetShard()).digest(request.GetBuckets(), s.options.Clock.Now())
	})
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ShardDigest{ShardDigest: answer}}, nil
}

// digest sums up the registers by key and ballot and the turns by key. Turns
// whose keeping time has ended are left out, since replicas collect them at different times.
func (t *shardTable) digest(buckets uint32, now time.Time) *protocol.ShardDigestResponse {
	answer := &protocol.ShardDigestResponse{RegisterDigests: make([]uint64, buckets), TurnDigests: make([]uint64, buckets)}
	for key, held := range t.registers {
		if accepted := held.state.Accepted; !accepted.IsZero() {
			answer.RegisterDigests[key.hash()%uint64(buckets)] += xxhash.Sum64String(key.program + "\x00" + key.call + "\x00" + accepted.String())
		}
	}
	for key, entry := range t.turns {
		if int64(entry.keepUntil) >= now.Unix() {
			answer.TurnDigests[key.low%uint64(buckets)] += key.high
		}
	}
	return answer
}
