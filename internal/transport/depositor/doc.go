// Package depositor queues the outcome records of requests and sends them to control instances in the
// background.
package depositor
