// Package announcer announces an upstream to pimentogate's entry instances, as a lease that it renews.
package announcer
