// Package exchanger sends requests to replicas over a pool of persistent HTTP/1.1 connections without pipelining. It reports an attempt as unsent only if that is certain.
package exchanger
