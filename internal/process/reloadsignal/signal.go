// Package reloadsignal catches SIGHUP, which tells a process that its settings have changed.
//
// A process that does not catch SIGHUP is ended by it. A platform may send it at any time, also to a process that has
// just been started; so it is caught while the program initialises its packages, not when main begins. The package
// imports nothing that takes long to initialise, so that Go initialises it before most others.
package reloadsignal

import (
	"os"
	"os/signal"
	"syscall"
)

var received = catch()

func catch() <-chan os.Signal {
	// One signal that waits is enough: it stands for all changes until the settings are read.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Received returns the channel on which SIGHUP arrives, also one that came before the call.
func Received() <-chan os.Signal { return received }
