package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/rosestand/rosestand/internal/protocol"
)

const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checker collects faults. Each method checks one value and reports a fault with its path.
type checker struct {
	faults []*protocol.Fault
}

func (c *checker) addFault(path, format string, arguments ...any) {
	message := format
	if len(arguments) > 0 {
		message = fmt.Sprintf(format, arguments...)
	}
	c.faults = append(c.faults, &protocol.Fault{Path: path, Message: message})
}

// name requires a name that is safe in paths, logs and metric labels.
func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.addFault(path, "is missing")
	case len(value) > maxNameBytes:
		c.addFault(path, "must have at most %d bytes", maxNameBytes)
	case !namePattern.MatchString(value):
		c.addFault(path, "must begin with a letter or digit and have only letters, digits, '.', '_' and '-'")
	}
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.addFault(path, "is missing")
	}
}

// secretFile requires either the path of a file with a secret, or the setting at
// trustPath, which declares the network or the operators trusted without one, but
// not both.
func (c *checker) secretFile(path, file, trustPath string, trusted bool) {
	switch {
	case !trusted:
		c.required(path, file)
	case file != "":
		c.addFault(path, "must be empty where %s is true", trustPath)
	}
}

// listener requires an IP:port to listen on that peers can reach; port 0 selects a free one.
func (c *checker) listener(path, value string) netip.AddrPort {
	if value == "" {
		c.addFault(path, "is missing")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.addFault(path, "%q is not IP:port; names are not looked up", value)
	case address.Addr().IsUnspecified():
		c.addFault(path, "%q must name the IP that other processes reach this one at", value)
	}
	return address
}

// peers requires distinct addresses (IP:port) of other processes.
func (c *checker) peers(path string, values []string) {
	seen := map[string]bool{}
	for index, value := range values {
		elementPath := fmt.Sprintf("%s[%d]", path, index)
		address := c.listener(elementPath, value)
		if address.IsValid() && address.Port() == 0 {
			c.addFault(elementPath, "%q has no port", value)
		}
		if seen[value] {
			c.addFault(elementPath, "%q is listed twice", value)
		}
		seen[value] = true
	}
}

func (c *checker) between(path string, value, minimum, maximum uint64) {
	if value < minimum || value > maximum {
		c.addFault(path, "is %d, must be between %d and %d", value, minimum, maximum)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	c.addFault(path, "is %q, must be one of %v", value, allowed)
}
