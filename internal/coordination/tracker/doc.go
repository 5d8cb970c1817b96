// Package tracker keeps the membership of the entry instances, as a deterministic machine.
package tracker
