package firsttoken_test

import (
	"testing"

	"github.com/rosestand/rosestand/internal/controlplane/firsttoken"
)

func TestQuantile(t *testing.T) {
	buckets := make([]uint64, firsttoken.BucketCount())
	if firsttoken.Quantile(buckets, 0.95) != 0 {
		t.Fatal("a quantile without samples")
	}
	for range 90 {
		buckets[firsttoken.Bucket(80)]++
	}
	for range 10 {
		buckets[firsttoken.Bucket(1500)]++
	}
	if p95 := firsttoken.Quantile(buckets, 0.95); p95 < 1000 || p95 > 2000 {
		t.Fatalf("p95 is %v", p95)
	}
	if p50 := firsttoken.Quantile(buckets, 0.5); p50 < 50 || p50 > 100 {
		t.Fatalf("p50 is %v", p50)
	}
}
