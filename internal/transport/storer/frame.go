package storer

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

const (
	// headerSize is the payload's length, its checksum and the checksum of both, in bytes.
	headerSize = 12
	sizeEnd    = 4
	headerEnd  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError is damage in a stored file that is no torn tail.
type CorruptError struct {
	File   string
	Offset int64
}

// Error names the file and the place of the damage.
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

// frameSize returns the size of the whole frame that the content starts with; the header has a checksum of its own, so that a search for frames costs no payload's checksum at places that hold none.
func frameSize(content []byte) (int, bool) {
	if len(content) < headerSize {
		return 0, false
	}
	if crc32.Checksum(content[:headerEnd], castagnoli) != binary.LittleEndian.Uint32(content[headerEnd:]) {
		return 0, false
	}
	return headerSize + int(binary.LittleEndian.Uint32(content)), true
}

// decodeFrame returns the payload of the frame that the content starts with, and the frame's size.
func decodeFrame(content []byte) ([]byte, int, bool) {
	size, ok := frameSize(content)
	if !ok || len(content) < size {
		return nil, 0, false
	}
	payload := content[headerSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(content[sizeEnd:]) {
		return nil, 0, false
	}
	return payload, size, true
}
