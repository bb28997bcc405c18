// Command rosestand-lab runs simulations, measurements and fault tests of rosestand;
// see docs/LAB.md.
package main

import "github.com/rosestand/rosestand/internal/testing/lab/command"

func main() { command.Main() }
