package bundle

import "slices"

// firstTokenBounds are the upper bounds, in milliseconds, of the histogram buckets
// in which the samples of roll-out variants count first-token times; the last
// bucket has no bound.
var firstTokenBounds = []uint32{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000, 60000}

// FirstTokenBuckets returns the number of buckets, one more than there are bounds.
func FirstTokenBuckets() int { return len(firstTokenBounds) + 1 }

// FirstTokenBounds returns the upper bounds in milliseconds of all buckets but the last.
func FirstTokenBounds() []uint32 { return slices.Clone(firstTokenBounds) }

// FirstTokenBucket returns the index of the bucket of a first-token time in milliseconds.
func FirstTokenBucket(millis uint32) int {
	bucket, _ := slices.BinarySearch(firstTokenBounds, millis)
	return bucket
}

// FirstTokenQuantile estimates a quantile (0 to 1) in milliseconds by interpolation
// within its bucket; zero without samples. Times above the last bound count as
// that bound.
func FirstTokenQuantile(buckets []uint64, quantile float64) float64 {
	var total uint64
	for _, count := range buckets {
		total += count
	}
	rank := quantile * float64(total)
	seen, lower := 0.0, 0.0
	for i, count := range buckets {
		if i >= len(firstTokenBounds) {
			break
		}
		upper := float64(firstTokenBounds[i])
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
