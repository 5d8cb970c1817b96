package storer

import "google.golang.org/protobuf/proto"

// EncodeFrame encodes the message with a header that holds its length and checksums.
func EncodeFrame(message proto.Message) ([]byte, error) { return encodeFrame(message) }

// DecodeFrame decodes the frame at the start of the content and returns its payload and its total size in bytes; it returns false if the frame is incomplete or corrupt.
func DecodeFrame(content []byte) ([]byte, int, bool) { return decodeFrame(content) }
