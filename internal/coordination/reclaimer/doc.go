// Package reclaimer bounds the connections and the memory that clients hold, and picks the clients to cut off once they are used up.
// It answers crowds of clients that open connections, or send parts of requests, and leave them open: a newcomer takes the place of the connection that has been idle for longest or, if none is idle, of the request that has been arriving for longest. While memory runs out, the request that has held the most for the longest time gives way. Clients of whom a request has been served are spared where others can be found.
package reclaimer
