// Package exchanger carries single requests to replicas over kept HTTP/1.1 connections, one request at a time each, and reports how each attempt ended without claiming more than is proved.
package exchanger
