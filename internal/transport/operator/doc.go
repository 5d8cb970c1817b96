// Package operator is the command line interface: the verbs that run instances, and those by which operators
// inspect and change a running system.
package operator
