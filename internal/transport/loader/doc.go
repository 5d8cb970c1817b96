// Package loader sends queries on an open-loop schedule, measures each from its intended time, and compares routing policies.
package loader
