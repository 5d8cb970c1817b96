package listener

import (
	"bytes"
)

const (
	// headAllowance and headLineAllowance are the size and number of lines of a head that each connection may have at any time.
	headAllowance     = 2 << 10
	headLineAllowance = 32
	// headByteCost and headLineCost are how much memory a byte and a line of a head take until the request is answered, in bytes: parsed, copied, and encoded for replicas and peers.
	headByteCost = 6
	headLineCost = 640
)

// headCost returns the memory that a head takes beyond the allowance, in bytes.
func headCost(size, lines int) int64 {
	return int64(max(0, size-headAllowance))*headByteCost + int64(max(0, lines-headLineAllowance))*headLineCost
}

// headMeter measures the head of a request as it arrives.
type headMeter struct {
	size, lines int
	// lineLength is the length of the current line so far, and last its last byte.
	lineLength int
	last       byte
	// hasLine is set once a line that is not empty has ended, so that an empty one ends the head.
	hasLine bool
	isWhole bool
}

// add measures the next bytes up to the end of the head, and returns how many follow it.
func (m *headMeter) add(content []byte) int {
	for !m.isWhole && len(content) > 0 {
		end := bytes.IndexByte(content, '\n')
		if end < 0 {
			m.extendLine(content)
			return 0
		}
		m.extendLine(content[:end])
		m.endLine()
		content = content[end+1:]
	}
	return len(content)
}

// extendLine adds bytes to the current line.
func (m *headMeter) extendLine(content []byte) {
	if len(content) == 0 {
		return
	}
	m.size += len(content)
	m.lineLength += len(content)
	m.last = content[len(content)-1]
}

// endLine ends the current line.
func (m *headMeter) endLine() {
	isEmpty := m.lineLength == 0 || m.lineLength == 1 && m.last == '\r'
	m.isWhole = isEmpty && m.hasLine
	m.hasLine = m.hasLine || !isEmpty
	m.size++
	m.lines++
	m.lineLength = 0
}

// cost returns the memory that the head takes beyond the allowance so far, in bytes.
func (m *headMeter) cost() int64 { return headCost(m.size, m.lines) }
