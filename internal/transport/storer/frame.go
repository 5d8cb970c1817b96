package storer

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

const (
	// headerSize covers three 32-bit fields: the payload's length, the payload's checksum and the checksum of these two fields.
	headerSize            = 12
	payloadChecksumOffset = 4
	headerChecksumOffset  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports damage in a stored file other than an incomplete last write.
type CorruptError struct {
	File   string
	Offset int64
}

// Error returns the file and the byte offset of the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("data folder: %s is corrupt at byte %d; restore this instance as after a lost disk", e.File, e.Offset)
}

func encodeFrame(message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(payload, castagnoli))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(frame, castagnoli))
	return append(frame, payload...), nil
}

// frameSize returns the total size of the frame at the start of the content. The header has its own checksum so that a byte-by-byte scan for frames doesn't compute payload checksums at offsets where no frame starts.
func frameSize(content []byte) (int, bool) {
	if len(content) < headerSize {
		return 0, false
	}
	if crc32.Checksum(content[:headerChecksumOffset], castagnoli) != binary.LittleEndian.Uint32(content[headerChecksumOffset:]) {
		return 0, false
	}
	return headerSize + int(binary.LittleEndian.Uint32(content)), true
}

// decodeFrame verifies the frame at the start of the content and returns its payload and its total size.
func decodeFrame(content []byte) ([]byte, int, bool) {
	size, ok := frameSize(content)
	if !ok || len(content) < size {
		return nil, 0, false
	}
	payload := content[headerSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(content[payloadChecksumOffset:]) {
		return nil, 0, false
	}
	return payload, size, true
}
