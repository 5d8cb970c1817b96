// Package controller runs a control instance: it feeds the journal's machine with time, messages and proposals, makes its actions durable, and serves operators and entry instances.
package controller
