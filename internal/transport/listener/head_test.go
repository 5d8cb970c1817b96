package listener

import (
	"strings"
	"testing"
)

// TestHeadMeter guards against a head whose end is missed, wherever its bytes are divided, and against one that is taken for longer than it is.
func TestHeadMeter(t *testing.T) {
	cases := []struct {
		name, head, rest string
		lines            int
		isWhole          bool
	}{
		{"whole", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "body\n", 3, true},
		{"bare line feeds", "GET / HTTP/1.1\nHost:a\n\n", "\n\n", 3, true},
		{"empty lines before it", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "", 4, true},
		{"not whole", "GET / HTTP/1.1\r\nHost: a\r\n\r", "", 2, false},
		{"only empty lines", "\r\n\r\n\r\n", "", 3, false},
		{"a carriage return within a line", "GET / HTTP/1.1\r\na\rb:\r\n\r\n", "x", 3, true},
	}
	for _, c := range cases {
		content := c.head + c.rest
		for size := 1; size <= len(content); size++ {
			m := headMeter{}
			rest := 0
			for left := []byte(content); len(left) > 0; left = left[min(size, len(left)):] {
				rest += m.add(left[:min(size, len(left))])
			}
			if m.size != len(c.head) || m.lines != c.lines || m.isWhole != c.isWhole || rest != len(c.rest) {
				t.Errorf("%s in parts of %d: %d bytes, %d lines, whole %t, %d after it", c.name, size, m.size, m.lines, m.isWhole, rest)
			}
		}
	}
}

// TestHeadCost guards against ordinary requests that need memory beyond their allowance, and against a head of the largest size that does not fit into the memory of the smallest machine.
func TestHeadCost(t *testing.T) {
	m := headMeter{}
	m.add([]byte("GET /search/1 HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("Field-Name: some value\r\n", 20) + "\r\n"))
	if m.cost() != 0 {
		t.Errorf("an ordinary head costs %d bytes", m.cost())
	}
	const largest, smallestMemory = 16 << 10, 24 << 20
	m = headMeter{}
	m.add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", largest/len("a:\r\n"))))
	if cost := m.cost(); cost < largest || cost > smallestMemory/2 {
		t.Errorf("a head of the largest size costs %d bytes", cost)
	}
}
