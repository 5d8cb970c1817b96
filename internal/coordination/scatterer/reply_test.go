package scatterer

import "testing"

// TestReleaseDropsBody guards against bodies that stay in memory after their bytes have been given to others, since something still refers to the reply.
func TestReleaseDropsBody(t *testing.T) {
	reply := &Reply{
		Body: make([]byte, 100),
	}
	reply.Release()
	if reply.Body != nil {
		t.Errorf("%d bytes kept", len(reply.Body))
	}
	var none *Reply
	none.Release()
}
