package ledger

import "github.com/rosestand/rosestand/internal/protocol"

// FinishedCount gives how many packed requests a record holds.
func FinishedCount(record *protocol.ProgramRecord) int {
	count := 0
	for range packedRequests(record.GetFinishedPacked()) {
		count++
	}
	return count
}

// LastPackedSize gives the bytes of the request packed last.
func LastPackedSize(record *protocol.ProgramRecord) int {
	size := 0
	for entry := range packedRequests(record.GetFinishedPacked()) {
		size = len(entry.encoded)
	}
	return size
}
