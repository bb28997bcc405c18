package operators

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

const bearerPrefix = "Bearer "

// Tokens are the bearer credentials of operators. Only their digests are kept.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	name string
	sum  [sha256.Size]byte
}

// TokenFileError says which line of the token file is at fault, without its content.
type TokenFileError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *TokenFileError) Error() string {
	return fmt.Sprintf("operator token file, line %d: %s", e.Line, e.Reason)
}

// LoadTokens reads a file with one "name token" a line; empty lines and those that begin with # do not count.
func LoadTokens(path string) (*Tokens, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read operator tokens")
	}
	return ParseTokens(content)
}

// ParseTokens reads the content of a token file; the error is a *TokenFileError.
func ParseTokens(content []byte) (*Tokens, error) {
	tokens := &Tokens{}
	lines := bufio.NewScanner(bytes.NewReader(content))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 2 {
			return nil, &TokenFileError{Line: number, Reason: "is not \"name token\""}
		}
		tokens.entries = append(tokens.entries, tokenEntry{name: fields[0], sum: sha256.Sum256([]byte(fields[1]))})
	}
	return tokens, errors.Wrap(lines.Err(), "read operator tokens")
}

// operator finds whose credential an Authorization header carries, in a time
// that depends neither on the credential nor on where it is in the list.
func (t *Tokens) operator(header string) (string, bool) {
	credential, bearer := strings.CutPrefix(header, bearerPrefix)
	sum := sha256.Sum256([]byte(credential))
	name, matches := "", 0
	for _, entry := range t.entries {
		same := subtle.ConstantTimeCompare(sum[:], entry.sum[:])
		if same == 1 {
			name = entry.name
		}
		matches |= same
	}
	return name, bearer && matches == 1
}
