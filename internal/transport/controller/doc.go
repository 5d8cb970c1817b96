// Package controller runs a control instance: it passes ticks, messages and proposals to the journal's consensus machine, makes its actions durable, and serves operators and entry instances.
package controller
