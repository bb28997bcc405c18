// Command rosestand is the operators' command-line client of a cluster; see
// docs/API-OPERATORS.md. SIGINT and SIGTERM cancel a command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosestand/rosestand/internal/operator"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operator.Execute(ctx, operator.Environment{
		Arguments:         os.Args[1:],
		Input:             os.Stdin,
		Output:            os.Stdout,
		Errors:            os.Stderr,
		LookupEnvironment: os.Getenv,
	})
	cancel()
	os.Exit(code)
}
