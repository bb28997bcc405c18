package main

import (
	"io"
	"os"
	"regexp"
	"slices"
	"testing"
)

// TestSubcommands guards the names of the subcommands, which are stable. Their flags are those of the daemons.
func TestSubcommands(t *testing.T) {
	arguments, output := os.Args, os.Stdout
	t.Cleanup(func() { os.Args, os.Stdout = arguments, output })
	file, err := os.CreateTemp(t.TempDir(), "help")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	os.Args, os.Stdout = []string{"rosestand-platform", "--help"}, file
	main()
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		t.Fatal(err)
	}
	help, err := io.ReadAll(file)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, match := range regexp.MustCompile(`(?m)^  ([a-z]+) +\S`).FindAllStringSubmatch(string(help), -1) {
		names = append(names, match[1])
	}
	if want := []string{"completion", "core", "front", "help", "store"}; !slices.Equal(names, want) {
		t.Fatalf("subcommands %v, want %v:\n%s", names, want, help)
	}
}
