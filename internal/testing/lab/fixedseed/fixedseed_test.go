package fixedseed_test

import (
	"flag"
	"testing"

	_ "github.com/rosestand/rosestand/internal/testing/lab/fixedseed" // What is tested.
)

func TestPropertyTestsHaveASeed(t *testing.T) {
	// A seed set on the command line, as for a search, counts too; only the default of the library is random.
	if set := flag.Lookup("rapid.seed"); set == nil || set.Value.String() == set.DefValue {
		t.Fatalf("the flag is %v", set)
	}
}
