// Package diverter decides when an entry instance lets peers answer its callers' requests because it reaches no replica itself, and which peers. It handles instances that are cut off from all replicas while callers, control and other entry instances still reach them.
package diverter
