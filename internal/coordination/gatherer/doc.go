// Package gatherer decides how a query is fanned out to the shards of one version, and what its answer is, as a deterministic machine.
package gatherer
