package trainingstep

import "fmt"

// MaxNameBytes bounds the name of a step and of its model.
const MaxNameBytes = 128

// NameError says why a text names no training step and no model of one.
type NameError struct{ Reason string }

func (e *NameError) Error() string { return "the name " + e.Reason }

// CheckName reports whether a text may name a training step or its model: 1 to MaxNameBytes
// letters and digits of ASCII and the characters . _ - : and /. The error is a *NameError.
func CheckName(name string) error {
	if name == "" {
		return &NameError{Reason: "is empty"}
	}
	if len(name) > MaxNameBytes {
		return &NameError{Reason: fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	}
	for at := range len(name) {
		if !isNameCharacter(name[at]) {
			return &NameError{Reason: fmt.Sprintf("holds the character %q", name[at])}
		}
	}
	return nil
}

func isNameCharacter(character byte) bool {
	switch {
	case 'a' <= character && character <= 'z', 'A' <= character && character <= 'Z', '0' <= character && character <= '9':
		return true
	}
	switch character {
	case '.', '_', '-', ':', '/':
		return true
	default:
		return false
	}
}
