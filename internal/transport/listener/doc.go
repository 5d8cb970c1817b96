// Package listener serves HTTP/1.1 and HTTP/2 without TLS on one address, and makes the clients that speak to it.
package listener
