// Package wire holds the messages between pimentogate's processes and towards upstreams, generated from proto/.
package wire
