// Package archiver stores outcome records in size-limited files, synced to disk, under the data folder of a
// control instance.
package archiver
