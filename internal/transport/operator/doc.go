// Package operator is the command line: the verbs that run instances and those that operators use.
package operator
