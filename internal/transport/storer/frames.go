package storer

import "google.golang.org/protobuf/proto"

// Frame returns the message with its length and checksum before it.
func Frame(message proto.Message) ([]byte, error) { return encodeFrame(message) }

// Unframe returns the payload of the frame that the content starts with, and the frame's size; false where it is torn or corrupt.
func Unframe(content []byte) ([]byte, int, bool) { return decodeFrame(content) }
