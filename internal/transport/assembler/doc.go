// Package assembler runs a cluster of control, entry and stand-in instances in this process on loopback addresses, for trials and measurements.
package assembler
