package subprocess

import (
	"os"
	"testing"
	"time"
)

func TestStatusIsReadPastNamesWithSpaces(t *testing.T) {
	usage, err := parseStat(
		[]byte("12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 4 0 100 1000 7 18446744073709551615"),
	)
	if err != nil {
		t.Fatal(err)
	}
	if usage.Processor != 3*time.Second || usage.ResidentBytes != 7*uint64(os.Getpagesize()) {
		t.Fatalf("usage %+v", usage)
	}
	if _, err := parseStat([]byte("12 (a) S 1")); err == nil {
		t.Fatal("a short status was read")
	}
}
