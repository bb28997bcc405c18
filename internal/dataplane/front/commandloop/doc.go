// Package commandloop provides a goroutine that runs commands one after another, so
// that the data that they access needs no lock. The front node's packages use one
// loop for each set of tables.
package commandloop
