package storer

import "google.golang.org/protobuf/proto"

// Frame encodes the message with a header that holds its length and checksums.
func Frame(message proto.Message) ([]byte, error) { return encodeFrame(message) }

// Unframe decodes the frame at the start of the content and returns its payload and its total size in bytes; it returns false if the frame is incomplete or corrupt.
func Unframe(content []byte) ([]byte, int, bool) { return decodeFrame(content) }
