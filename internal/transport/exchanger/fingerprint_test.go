package exchanger

import "testing"

func newFingerprintCall() *Call {
	return &Call{
		ID:     "1",
		Method: "POST",
		Host:   "a.example",
		Path:   "/one/1?q=2",
		Caller: "token-1",
		Body:   []byte("content"),
	}
}

// TestFingerprint checks which requests count as repeats of each other.
func TestFingerprint(t *testing.T) {
	original := newFingerprintCall()
	cases := []struct {
		name   string
		change func(*Call)
		isSame bool
	}{
		{"new id", func(c *Call) { c.ID = "2" }, true},
		{"host in capitals", func(c *Call) { c.Host = "A.example" }, true},
		{"other method", func(c *Call) { c.Method = "PUT" }, false},
		{"other host", func(c *Call) { c.Host = "b.example" }, false},
		{"other query", func(c *Call) { c.Path = "/one/1?q=3" }, false},
		{"other caller", func(c *Call) { c.Caller = "token-2" }, false},
		{"other body", func(c *Call) { c.Body = []byte("other") }, false},
		{"text moved from path to caller", func(c *Call) { c.Path, c.Caller = "/one/1?q=", "2token-1" }, false},
	}
	for _, c := range cases {
		repeat := newFingerprintCall()
		c.change(repeat)
		if isSame := repeat.Fingerprint() == original.Fingerprint(); isSame != c.isSame {
			t.Errorf("%s: same fingerprint: %t", c.name, isSame)
		}
	}
}
