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

// checker collects faults.
type checker struct {
	faults []*protocol.Fault
}

func (c *checker) add(path, format string, arguments ...any) {
	message := format
	if len(arguments) > 0 {
		message = fmt.Sprintf(format, arguments...)
	}
	c.faults = append(c.faults, &protocol.Fault{Path: path, Message: message})
}

// name requires a word that is safe in paths, logs and metric labels.
func (c *checker) name(path, value string) {
	switch {
	case value == "":
		c.add(path, "is missing")
	case len(value) > maxNameBytes:
		c.add(path, "must have at most %d bytes", maxNameBytes)
	case !namePattern.MatchString(value):
		c.add(path, "must begin with a letter or digit and have only letters, digits, '.', '_' and '-'")
	}
}

func (c *checker) present(path, value string) {
	if value == "" {
		c.add(path, "is missing")
	}
}

// listener requires an IP:port to listen on, which peers can reach; port 0 takes any free one.
func (c *checker) listener(path, value string) netip.AddrPort {
	if value == "" {
		c.add(path, "is missing")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.add(path, "%q is not IP:port; names are not looked up", value)
	case address.Addr().IsUnspecified():
		c.add(path, "%q must name the IP that other processes reach this one at", value)
	}
	return address
}

// peers requires distinct addresses of other processes.
func (c *checker) peers(path string, values []string) {
	seen := map[string]bool{}
	for index, value := range values {
		elementPath := fmt.Sprintf("%s[%d]", path, index)
		address := c.listener(elementPath, value)
		if address.IsValid() && address.Port() == 0 {
			c.add(elementPath, "%q has no port", value)
		}
		if seen[value] {
			c.add(elementPath, "%q is there twice", value)
		}
		seen[value] = true
	}
}

func (c *checker) between(path string, value, least, most uint64) {
	if value < least || value > most {
		c.add(path, "is %d, must be between %d and %d", value, least, most)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	c.add(path, "is %q, must be one of %v", value, allowed)
}
