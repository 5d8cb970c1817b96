// Package archiver keeps records of outcomes in bounded, synced files under the data folder of a control instance.
package archiver
