// Package main is the stand-in of a small deployment for the scripts of the second review.
//
// The program needs the build tag review: go build -tags review -o target/harness-2 ./review/harness
package main
