package store

import (
	"bytes"
	"encoding/binary"
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
	// maximumPageScan bounds what the owner of a shard looks at for one page, most of which a filter may leave out.
	maximumPageScan = 8192
	registerCursor  = 'r'
	turnCursor      = 't'
)

// cursor is a place in a shard: registers in the order of their keys' hashes, then
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

func (k registerKey) bucketHash() uint64 {
	return xxhash.Sum64String(k.program) ^ xxhash.Sum64String("\x00"+k.call)
}

// registersAfter gives the next registers in order, and the place that the page reaches to.
func (t *shardTable) registersAfter(after registerKey, limit int, filter bucketFilter) (page []*protocol.RegisterState, reached registerKey, last bool) {
	size, seen := 0, 0
	for key, held := range t.registers.After(after) {
		if len(page) == limit || size > maximumPageBytes || seen == maximumPageScan {
			return page, reached, false
		}
		seen++
		reached = key
		if held.state.Accepted.IsZero() || !filter.keeps(key.bucketHash()) {
			continue
		}
		state := held.state.ToProto(key.message())
		page = append(page, state)
		size += len(state.GetValue())
	}
	return page, reached, true
}

// turnsAfter gives the places of the next turns in order, and the place that the page reaches to.
func (t *shardTable) turnsAfter(after turnKey, limit int, filter bucketFilter) (keys []turnKey, entries []turnEntry, reached turnKey, last bool) {
	seen := 0
	for key, entry := range t.turns.After(after) {
		if len(keys) == limit || seen == maximumPageScan {
			return keys, entries, reached, false
		}
		seen++
		reached = key
		if filter.keeps(key.low) {
			keys = append(keys, key)
			entries = append(entries, entry)
		}
	}
	return keys, entries, reached, true
}

// shardPage is one page as the owner of the shard sees it; turns are still on disk.
type shardPage struct {
	answer  *protocol.FetchShardResponse
	keys    []turnKey
	entries []turnEntry
	// reached is the last turn that was looked at.
	reached turnKey
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
		Refusal: t.view.CopyRejection(request.GetPlacementEpoch()), PlacementEpoch: t.view.Epoch,
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
		keys, entries, reached, last := t.turnsAfter(after.turn, limit, filter)
		return shardPage{answer: answer, keys: keys, entries: entries, reached: reached, last: last}
	}
	registers, reached, last := t.registersAfter(after.register, limit, filter)
	answer.Registers = registers
	answer.Next = cursor{inTurns: true}.encode()
	if !last {
		answer.Next = cursor{register: reached}.encode()
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
		answer.Next = cursor{inTurns: true, turn: page.reached}.encode()
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
		if refusal := view.CopyRejection(request.GetPlacementEpoch()); refusal != notRefused {
			return &protocol.ShardDigestResponse{Refusal: refusal, PlacementEpoch: view.Epoch}
		}
		return g.table(request.GetShard()).digest(request.GetBuckets(), s.options.Clock.Now())
	})
	if err != nil {
		return nil, err
	}
	return &protocol.Response{Body: &protocol.Response_ShardDigest{ShardDigest: answer}}, nil
}

// digest sums up the registers by key and ballot and the turns by key. What
// is past its keeping time is left out, since replicas collect them at different times.
func (t *shardTable) digest(buckets uint32, now time.Time) *protocol.ShardDigestResponse {
	answer := &protocol.ShardDigestResponse{RegisterDigests: make([]uint64, buckets), TurnDigests: make([]uint64, buckets)}
	for key, held := range t.registers.All() {
		if accepted := held.state.Accepted; !accepted.IsZero() && !held.isForgotten(key, now) {
			answer.RegisterDigests[key.bucketHash()%uint64(buckets)] += xxhash.Sum64String(key.program + "\x00" + key.call + "\x00" + accepted.String())
		}
	}
	for key, entry := range t.turns.All() {
		if int64(entry.keepUntil) >= now.Unix() {
			answer.TurnDigests[key.low%uint64(buckets)] += key.high
		}
	}
	return answer
}
