package dialect_test

import (
	"testing"

	"github.com/rosestand/rosestand/internal/dataplane/dialect"
)

func TestDecodeLoad(t *testing.T) {
	for value, want := range map[string]dialect.Load{
		"running=1,queued=2,capacity=16": {Running: 1, Queued: 2, Capacity: 16},
		"capacity=16, running=1":         {Running: 1, Capacity: 16},
		"running=1,colour=3,queued=many": {Running: 1},
		"12, 1,64":                       {Running: 12, Queued: 1, Capacity: 64},
		"12,1,64,7":                      {Running: 12, Queued: 1, Capacity: 64},
	} {
		if got, known := dialect.DecodeLoad(value); !known || got != want {
			t.Errorf("load %q: decoded %+v, %t; want %+v, true", value, got, known, want)
		}
	}
	for _, value := range []string{"", "many", "running=-1", "=3", "-1,-2"} {
		if got, known := dialect.DecodeLoad(value); known {
			t.Errorf("load %q was accepted as %+v, want it rejected", value, got)
		}
	}
}
