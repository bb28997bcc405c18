package ledger

import "github.com/rosestand/rosestand/internal/protocol"

// FinishedCount returns how many packed requests a record has.
func FinishedCount(record *protocol.ProgramRecord) int {
	count := 0
	for range packedRequests(record.GetFinishedPacked()) {
		count++
	}
	return count
}

// LastPackedSize returns the encoded size in bytes of the last packed request.
func LastPackedSize(record *protocol.ProgramRecord) int {
	size := 0
	for entry := range packedRequests(record.GetFinishedPacked()) {
		size = len(entry.encoded)
	}
	return size
}
