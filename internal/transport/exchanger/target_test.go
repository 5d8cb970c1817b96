package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"
)

// FuzzRequestTarget checks that a target that net/http accepts from a caller is written to the replica as it is, or not at all.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{"/", "//shop/item", "///?//", "/%2F%zz?%", "/\xff?\x80", "*", "http://a//b", "/a#b", "/x y", "/\x7f"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		received, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n")))
		if err != nil {
			return
		}
		call := &Call{
			Method: received.Method,
			Host:   "a",
			Path:   received.RequestURI,
		}
		encoded := call.encode(testCodec{})
		var invalid *InvalidTargetError
		if errors.As(encoded.err, &invalid) {
			return
		}
		if line, _, _ := bytes.Cut(encoded.head, lineEnd); encoded.err != nil || string(line) != "GET "+received.RequestURI+" HTTP/1.1" {
			t.Errorf("%q: written as %q, %v", received.RequestURI, line, encoded.err)
		}
	})
}
