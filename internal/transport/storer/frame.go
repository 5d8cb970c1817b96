package storer

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// headerSize is the length and the checksum before each payload, in bytes.
	headerSize = 8
	maxPayload = 64 << 20
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

func encodeFrames(records []*wire.JournalRecord) ([]byte, error) {
	var frames []byte
	for _, record := range records {
		frame, err := encodeFrame(record)
		if err != nil {
			return nil, err
		}
		frames = append(frames, frame...)
	}
	return frames, nil
}

func encodeFrame(message proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(payload)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(payload, castagnoli))
	return append(frame, payload...), nil
}

// decodeFrame returns the payload of the frame that the content starts with, and the frame's size.
func decodeFrame(content []byte) ([]byte, int, bool) {
	if len(content) < headerSize {
		return nil, 0, false
	}
	size := int(binary.LittleEndian.Uint32(content))
	if size == 0 || size > maxPayload || len(content) < headerSize+size {
		return nil, 0, false
	}
	payload := content[headerSize : headerSize+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(content[4:]) {
		return nil, 0, false
	}
	return payload, headerSize + size, true
}
