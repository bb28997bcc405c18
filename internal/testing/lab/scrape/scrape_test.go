package scrape_test

import (
	"strings"
	"testing"

	"github.com/rosestand/rosestand/internal/testing/lab/scrape"
)

const exposition = `# HELP calls Calls.
# TYPE calls counter
calls{by="cache"} 3
calls{by="holder"} 4.5
wait_bucket{le="0.5"} 1
wait_bucket{le="1"} 9
wait_bucket{le="+Inf"} 10
wait_count 10
`

func TestMetricsAreReadAndAddedUp(t *testing.T) {
	metrics, err := scrape.Parse(strings.NewReader(exposition))
	if err != nil {
		t.Fatal(err)
	}
	if sum := metrics.Sum("calls"); sum != 7.5 {
		t.Errorf("sum %v", sum)
	}
	if sum := metrics.Sum("calls", `by="cache"`); sum != 3 {
		t.Errorf("sum of one label %v", sum)
	}
	buckets := metrics.Buckets("wait")
	if median, found := buckets.Quantile(0.5); !found || median != 1 {
		t.Errorf("median %v, %v", median, found)
	}
	buckets.Add(metrics.Buckets("wait"), -1)
	if _, found := buckets.Quantile(0.5); found {
		t.Error("a quantile of nothing")
	}
}
