// Package pb holds the generated wire messages and the drpc services.
//
// The Go files are generated from gentianrail.proto by tools/generate.sh and
// are committed, so that a build needs no generator.
package pb
