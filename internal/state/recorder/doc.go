// Package recorder queues the outcome records of requests until a control instance has stored them, finds
// duplicate and missing records, and summarizes records.
package recorder
