// Package modeltoken is the form of the tokens that emulated model servers produce.
// Each token carries its index in the answer, its time and the nonce of its
// request, so that a caller can see skipped, repeated, spliced, crossed and
// delayed pieces by reading the text alone.
package modeltoken

import (
	"strconv"
	"strings"
	"time"
)

// Token is one produced token.
type Token struct {
	// Index counts the tokens of one answer from 0.
	Index int
	// At is when the token was made.
	At time.Time
	// Nonce is that of the request.
	Nonce string
}

const prefix = "t"

// String renders the token as one word.
func (t Token) String() string {
	return prefix + strconv.Itoa(t.Index) + "." + strconv.FormatInt(t.At.UnixMicro(), 10) + "." + t.Nonce
}

// Parse reads one word; ok is false when it is not a token of an emulated server.
func Parse(word string) (token Token, ok bool) {
	rest, marked := strings.CutPrefix(word, prefix)
	if !marked {
		return Token{}, false
	}
	parts := strings.SplitN(rest, ".", 3)
	if len(parts) != 3 {
		return Token{}, false
	}
	index, err := strconv.Atoi(parts[0])
	if err != nil {
		return Token{}, false
	}
	micros, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Token{}, false
	}
	return Token{Index: index, At: time.UnixMicro(micros), Nonce: parts[2]}, true
}

// ParseText reads all words of a text; ok is false when one of them is no token.
func ParseText(text string) (tokens []Token, ok bool) {
	ok = true
	for word := range strings.FieldsSeq(text) {
		token, parsed := Parse(word)
		if !parsed {
			ok = false
			continue
		}
		tokens = append(tokens, token)
	}
	return tokens, ok
}
