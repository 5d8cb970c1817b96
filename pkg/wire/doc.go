// Package wire contains the messages exchanged between pimentogate's processes and with upstreams, generated from proto/.
package wire
