// Package merger merges the results of the shards of one version into one ranked list.
package merger
