package trainingstep

import (
	"fmt"
	"strings"
)

// MaxNameBytes is the maximum length, in bytes, of the name of a step and of its model.
const MaxNameBytes = 128

// NameError reports why a text is not a valid name of a training step or of its model.
type NameError struct{ Reason string }

// Error implements error.
func (e *NameError) Error() string { return "the name " + e.Reason }

// CheckName returns a *NameError unless the text is a valid name of a training step or of its model: 1 to MaxNameBytes
// ASCII letters and digits and the characters . _ - : and /.
func CheckName(name string) error {
	if name == "" {
		return &NameError{Reason: "is empty"}
	}
	if len(name) > MaxNameBytes {
		return &NameError{Reason: fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	}
	for index := range len(name) {
		if !isNameCharacter(name[index]) {
			return &NameError{Reason: fmt.Sprintf("holds the character %q", name[index])}
		}
	}
	return nil
}

func isNameCharacter(character byte) bool {
	switch {
	case 'a' <= character && character <= 'z':
		return true
	case 'A' <= character && character <= 'Z':
		return true
	case '0' <= character && character <= '9':
		return true
	default:
		return strings.IndexByte("._-:/", character) >= 0
	}
}
