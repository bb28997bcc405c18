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
	name   string
	digest [sha256.Size]byte
}

// TokenFileError reports the malformed line of the token file. It omits the content of the line, which may be a
// credential.
type TokenFileError struct {
	Line   int
	Reason string
}

// Error implements error.
func (e *TokenFileError) Error() string {
	return fmt.Sprintf("operator token file, line %d: %s", e.Line, e.Reason)
}

// LoadTokens reads a file with one "name token" per line; empty lines and those that start with # are ignored.
func LoadTokens(path string) (*Tokens, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read operator tokens")
	}
	return ParseTokens(content)
}

// ParseTokens parses the content of a token file; it returns a *TokenFileError for a malformed line.
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
			return nil, &TokenFileError{Line: number, Reason: "must have the form \"name token\""}
		}
		tokens.entries = append(tokens.entries, tokenEntry{name: fields[0], digest: sha256.Sum256([]byte(fields[1]))})
	}
	return tokens, errors.Wrap(lines.Err(), "read operator tokens")
}

// findOperator returns the name of the operator whose credential is in an Authorization header. Its running
// time depends neither on the credential nor on its position in the list.
func (t *Tokens) findOperator(header string) (string, bool) {
	credential, bearer := strings.CutPrefix(header, bearerPrefix)
	sum := sha256.Sum256([]byte(credential))
	name, matches := "", 0
	for _, entry := range t.entries {
		same := subtle.ConstantTimeCompare(sum[:], entry.digest[:])
		if same == 1 {
			name = entry.name
		}
		matches |= same
	}
	return name, bearer && matches == 1
}
