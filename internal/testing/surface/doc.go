// Package surface holds tests that compare what others rely on (command lines, settings, metrics, headers, paths,
// codes, files) with golden files. The goldens name no Go package, file or identifier, so that code may be moved and
// renamed.
package surface
