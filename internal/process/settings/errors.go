package settings

import (
	"fmt"
	"strings"

	"github.com/rosestand/rosestand/internal/protocol"
)

// InvalidError lists all faults of a document or of settings.
type InvalidError struct {
	Faults []*protocol.Fault
}

// Error returns the number of faults and a line for each fault with its path.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the settings:", len(e.Faults)))
	if len(e.Faults) == 1 {
		lines[0] = "1 fault in the settings:"
	}
	for _, fault := range e.Faults {
		lines = append(lines, "  "+FormatFault(fault))
	}
	return strings.Join(lines, "\n")
}

// FormatFault formats a fault as "path: message".
func FormatFault(fault *protocol.Fault) string {
	if fault.GetPath() == "" {
		return fault.GetMessage()
	}
	return fault.GetPath() + ": " + fault.GetMessage()
}
