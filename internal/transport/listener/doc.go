// Package listener serves HTTP/1.1 and unencrypted HTTP/2 on one address, and provides the matching clients.
package listener
