package turnindex

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store/records"
	"github.com/rosestand/rosestand/internal/storage"
)

var start = time.Unix(1_800_000_000, 0)

// addChain adds the turns first, second and third of program p, each in its own segment and retained for a minute.
func addChain(index *Index, segments *SegmentExpiry) {
	previous := ""
	for i, id := range []string{"first", "second", "third"} {
		turn := &protocol.Turn{
			Id: id, Program: "p", PreviousTurn: previous, KeepUntilMillis: start.Add(time.Minute).UnixMilli(),
		}
		entry := NewEntry(storage.Position{Segment: uint64(i + 1), Offset: 10}, turn)
		index.Put(KeyOf(turn), entry)
		segments.Record(entry)
		previous = id
	}
}

func TestExtendRetainsATurnAndItsPredecessors(t *testing.T) {
	var index Index
	var segments SegmentExpiry
	addChain(&index, &segments)
	later := uint32(start.Add(time.Hour).Unix())
	index.Extend(NewKey("p", "second"), later, &segments)
	for id, wanted := range map[string]bool{"first": true, "second": true, "third": false} {
		if got := index.Retains(NewKey("p", id), later); got != wanted {
			t.Errorf("turn %s is retained for an hour: %v, want %v", id, got, wanted)
		}
	}
	index.RemoveExpired(0, start.Add(2*time.Minute))
	if index.Len() != 2 {
		t.Errorf("%d turns are left after RemoveExpired, want 2", index.Len())
	}
	if first := segments.FirstRetained(1, 4, start.Add(2*time.Hour)); first != 4 {
		t.Errorf("first retained segment after all turns expired: got %d, want 4", first)
	}
}

func TestSegmentIsRetainedAsLongAsItsLastTurn(t *testing.T) {
	var index Index
	var segments SegmentExpiry
	addChain(&index, &segments)
	index.Extend(NewKey("p", "third"), uint32(start.Add(time.Hour).Unix()), &segments)
	if first := segments.FirstRetained(1, 4, start.Add(30*time.Minute)); first != 1 {
		t.Errorf("first retained segment before the last turn expires: got %d, want 1", first)
	}
	if first := segments.FirstRetained(1, 4, start.Add(time.Hour+expirySlack+time.Second)); first != 4 {
		t.Errorf("first retained segment after the last turn expired: got %d, want 4", first)
	}
}

func TestWithIDListsTurnsOfAllPrograms(t *testing.T) {
	var index Index
	for _, program := range []string{"p", "q"} {
		index.Put(NewKey(program, "turn"), Entry{Segment: 1})
		index.Put(NewKey(program, "other"), Entry{Segment: 2})
	}
	entries := index.WithID("turn")
	if len(entries) != 2 || entries[0].Segment != 1 || entries[1].Segment != 1 {
		t.Errorf("WithID returned %v, want the two entries of segment 1", entries)
	}
}

func TestEncodedIndexRoundTrips(t *testing.T) {
	var index, read Index
	var segments SegmentExpiry
	addChain(&index, &segments)
	var stored bytes.Buffer
	if err := WriteHeader(&stored); err != nil {
		t.Fatal(err)
	}
	stored.Write(index.Encode(7))
	content := stored.Bytes()
	err := Read(bytes.NewReader(content), func(shard uint32, key Key, entry Entry) {
		if shard != 7 {
			t.Errorf("read an entry of shard %d, want 7", shard)
		}
		read.Put(key, entry)
	})
	if err != nil || read.Len() != index.Len() {
		t.Fatalf("Read returned %d entries and error %v, want all entries", read.Len(), err)
	}
	for key, entry := range index.All() {
		if got, _ := read.Get(key); got != entry {
			t.Errorf("entry %v was read as %v", entry, got)
		}
	}
	ignore := func(uint32, Key, Entry) {}
	if err := Read(bytes.NewReader([]byte("another form")), ignore); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("Read of an unknown format returned error %v, want ErrUnknownFormat", err)
	}
	err = Read(bytes.NewReader(content[:len(content)-1]), ignore)
	if _, unreadable := errors.AsType[*records.UnreadableError](err); !unreadable {
		t.Errorf("Read of an index truncated within an entry returned error %v, want an UnreadableError", err)
	}
}
