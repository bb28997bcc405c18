package trainingstep

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Announcement maps each model of one ready server of a group to the version
// of its weights that the server announces. 0 means no version.
type Announcement map[string]uint64

// GroupModel returns the model of a group whose routes name none: the one that
// most servers announce with a version, or the first by name in case of a tie.
// It is empty when no server announces a version.
func GroupModel(announcements []Announcement) string {
	counts := make(map[string]int)
	for _, announced := range announcements {
		for model, version := range announced {
			if version > 0 {
				counts[model]++
			}
		}
	}
	chosen := ""
	for model, count := range counts {
		if chosen == "" || count > counts[chosen] || count == counts[chosen] && model < chosen {
			chosen = model
		}
	}
	return chosen
}

// ProposeVersion returns the version pin for a step that has none: the highest version
// that at least half of the servers announce for the model, or else the version that
// most servers announce, the highest in case of a tie. It is 0 when no server announces a version.
func ProposeVersion(model string, announcements []Announcement) uint64 {
	counts := make(map[uint64]int)
	for _, announced := range announcements {
		if version := announced[model]; version > 0 {
			counts[version]++
		}
	}
	versions := make([]uint64, 0, len(counts))
	for version := range counts {
		versions = append(versions, version)
	}
	if len(versions) == 0 {
		return 0
	}
	slices.SortFunc(versions, func(a, b uint64) int { return cmp.Compare(b, a) })
	for _, version := range versions {
		if 2*counts[version] >= len(announcements) {
			return version
		}
	}
	return slices.MaxFunc(versions, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
}

// UnknownVersion is the version of an answer or event that reports none, or none that can be parsed.
const UnknownVersion uint64 = 0

// ParseVersions parses the versions that the head of an answer reports: numbers
// separated by commas, in one header or several. A part that is not a number
// becomes UnknownVersion; without any header the result is UnknownVersion alone.
func ParseVersions(values []string) []uint64 {
	var versions []uint64
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			versions = append(versions, parseVersion(part))
		}
	}
	if len(versions) == 0 {
		return []uint64{UnknownVersion}
	}
	return versions
}

func parseVersion(text string) uint64 {
	version, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return UnknownVersion
	}
	return version
}

// ParseEventVersion parses the version that an event of a stream reports in its first
// line, after the header's name in lower case and a colon. It returns false
// for an event that reports none. Blank lines before an event are skipped.
func ParseEventVersion(event []byte, header string) (version uint64, named bool) {
	line, _, _ := strings.Cut(strings.TrimLeft(string(event), "\r\n"), "\n")
	name, value, found := strings.Cut(line, ":")
	if !found || name != strings.ToLower(header) {
		return UnknownVersion, false
	}
	return parseVersion(value), true
}
