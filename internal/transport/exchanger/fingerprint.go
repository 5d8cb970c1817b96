package exchanger

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash that repeats of a request have in common although each has its own ID: it covers the method, host, path, caller and body.
func (c *Call) Fingerprint() uint64 {
	hash := xxhash.New()
	for _, part := range []string{c.Method, strings.ToLower(c.Host), c.Path, c.Caller} {
		writePart(hash, part)
	}
	_, _ = hash.Write(c.Body)
	return hash.Sum64()
}

// writePart hashes the length of the part before the part, so that its end is unambiguous.
func writePart(hash *xxhash.Digest, part string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = hash.Write(length[:])
	_, _ = hash.WriteString(part)
}
