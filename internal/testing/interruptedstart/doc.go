// Package interruptedstart tests what a process finds on its disk after starts that were interrupted.
//
// A start writes files in a number of operations. Test ends a process at each operation of a start, by a kill or by a
// loss of power, ends the next start at each of its operations as well, and then checks what a third start, which
// is not interrupted, says and remembers.
package interruptedstart
