// Package commandloop gives a table of the front plane its owner: a goroutine
// that runs commands one after another, so that what they touch needs no lock.
// It decides nothing and knows nothing of what the commands do.
package commandloop
