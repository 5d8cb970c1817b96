// Package assembler brings up control, entry and stand-in instances in this process on loopback, for a trial or a measurement.
package assembler
