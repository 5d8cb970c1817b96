// Package expirer decides which replicas are lost because no control instance has received their heartbeats.
// It detects replicas that crash without leaving, and allows for control instances that are partitioned,
// restarted or suspended themselves.
package expirer
