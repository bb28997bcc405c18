// Package version identifies the release and the build of a program.
package version

import (
	"fmt"
	"runtime"
)

// Number is the release; a release build sets it with the linker flag
// -X github.com/rosestand/rosestand/internal/process/version.Number=....
var Number = "0.1.0-dev"

// String returns the release, the Go version and the platform.
func String() string {
	return fmt.Sprintf("%s (%s, %s/%s)", Number, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
