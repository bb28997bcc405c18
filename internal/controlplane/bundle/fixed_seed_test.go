package bundle_test

// Property tests generate the same cases on every run.
import _ "github.com/rosestand/rosestand/internal/testing/lab/fixedseed"
