// Package launcher runs entry and control instances: it reads their settings, starts them, reloads changed
// settings and shuts them down on a signal.
package launcher
