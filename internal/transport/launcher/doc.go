// Package launcher runs the instances that a platform starts: it reads their settings, starts them, and ends them when they are told to.
package launcher
