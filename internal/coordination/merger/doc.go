// Package merger merges the rows of one version's shards into one ranked list.
package merger
