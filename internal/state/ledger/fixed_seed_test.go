package ledger_test

// Fixes the seed of the property tests, so that every run draws the same cases.
import _ "github.com/rosestand/rosestand/internal/testing/lab/fixedseed"
