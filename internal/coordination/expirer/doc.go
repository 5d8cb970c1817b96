// Package expirer decides which replicas are given up because no control instance has heard them; it answers replicas that crash without a word while control itself may be cut, restarted or suspended.
package expirer
