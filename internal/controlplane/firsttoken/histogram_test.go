package firsttoken_test

import (
	"testing"

	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
)

func TestQuantile(t *testing.T) {
	buckets := make([]uint64, firsttoken.BucketCount())
	if firsttoken.Quantile(buckets, 0.95) != 0 {
		t.Fatal("the quantile of an empty histogram is not 0")
	}
	for range 90 {
		buckets[firsttoken.Bucket(80)]++
	}
	for range 10 {
		buckets[firsttoken.Bucket(1500)]++
	}
	if p95 := firsttoken.Quantile(buckets, 0.95); p95 < 1000 || p95 > 2000 {
		t.Fatalf("p95 = %v, want 1000 to 2000", p95)
	}
	if p50 := firsttoken.Quantile(buckets, 0.5); p50 < 50 || p50 > 100 {
		t.Fatalf("p50 = %v, want 50 to 100", p50)
	}
}
