// Package firsttoken defines the histogram of the first-token times of roll-out
// variants, which front nodes record and the core's guard and operators evaluate. All
// of them must use the same buckets, so these are defined here only. The package is
// pure and safe for concurrent use.
package firsttoken

import "slices"

// bounds are the inclusive upper bounds of the buckets in milliseconds; the last
// bucket has no bound.
var bounds = []uint32{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000, 60000}

// BucketCount returns the number of buckets, one more than there are bounds.
func BucketCount() int { return len(bounds) + 1 }

// Bucket returns the index of the bucket of a first-token time in milliseconds.
func Bucket(millis uint32) int {
	bucket, _ := slices.BinarySearch(bounds, millis)
	return bucket
}

// Quantile estimates a quantile (0 to 1) in milliseconds by interpolation
// within its bucket; zero without samples. Times above the last bound count as
// that bound.
func Quantile(buckets []uint64, quantile float64) float64 {
	var total uint64
	for _, count := range buckets {
		total += count
	}
	rank := quantile * float64(total)
	seen, lower := 0.0, 0.0
	for i, count := range buckets {
		if i >= len(bounds) {
			break
		}
		upper := float64(bounds[i])
		if count > 0 && seen+float64(count) >= rank {
			return lower + (upper-lower)*(rank-seen)/float64(count)
		}
		seen += float64(count)
		lower = upper
	}
	if total == 0 {
		return 0
	}
	return lower
}
