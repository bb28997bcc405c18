package turn_test

import _ "github.com/rosestand/rosestand/internal/lab/fixedseed" // Property tests draw the same cases on every run.
