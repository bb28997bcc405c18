package modelserver

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one element of a conversation as a front node sends it.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptTokens counts each word as one token and each role as one more; the
// last token asks for the answer.
func promptTokens(messages []Message) []uint64 {
	var tokens []uint64
	for _, message := range messages {
		tokens = append(tokens, tokenHash("role:"+message.Role))
		for word := range strings.FieldsSeq(message.Content) {
			tokens = append(tokens, tokenHash(word))
		}
	}
	return append(tokens, tokenHash("role:assistant"))
}

func tokenHash(word string) uint64 { return xxhash.Sum64String(word) }

// chain hashes each full block together with all that is before it.
func chain(hashes, tokens []uint64, blockTokens int) []uint64 {
	digest := xxhash.New()
	var buffer [8]byte
	for i, token := range tokens {
		binary.LittleEndian.PutUint64(buffer[:], token)
		_, _ = digest.Write(buffer[:])
		if (i+1)%blockTokens == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}

// replyLengthPrefix begins a word of the last message that sets the natural length of the answer.
const (
	replyLengthPrefix  = "reply:"
	defaultReplyTokens = 24
)

// replyTokens is the number of tokens that the server would answer by itself.
func replyTokens(messages []Message) int {
	if len(messages) == 0 {
		return defaultReplyTokens
	}
	for word := range strings.FieldsSeq(messages[len(messages)-1].Content) {
		length, marked := strings.CutPrefix(word, replyLengthPrefix)
		if !marked {
			continue
		}
		if count, err := strconv.Atoi(length); err == nil && count > 0 {
			return count
		}
	}
	return defaultReplyTokens
}
