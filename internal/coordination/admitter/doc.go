// Package admitter decides which entry instances a control instance sends its whole state to, and when and whom
// the others ask next. It is designed for a control instance with half a core and a link of 50 Mbit/s that 300
// entry instances call at the same moment, while it takes part in an election; memory and time per call do not
// grow with the number of replicas.
package admitter
