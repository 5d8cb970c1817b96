package listener

import (
	"errors"
	"io"
	"net/http"
)

// errResponseTooLarge ends the reading of a response beyond its limit.
var errResponseTooLarge = errors.New("response too large")

// limitedTransport limits the body of each response, also of those that report an error.
type limitedTransport struct {
	http.RoundTripper

	maxBytes int64
}

// NewLimitedTransport returns a transport whose responses fail beyond maxBytes of their bodies, so that a faulty server does not fill the memory.
func NewLimitedTransport(transport http.RoundTripper, maxBytes int64) http.RoundTripper {
	return &limitedTransport{
		RoundTripper: transport,
		maxBytes:     maxBytes,
	}
}

// RoundTrip sends the request and limits its response.
func (t *limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{
		ReadCloser: response.Body,
		left:       t.maxBytes,
	}
	return response, nil
}

// CloseIdleConnections closes those of the transport, if it keeps any.
func (t *limitedTransport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// limitedBody fails once more than left bytes have been read.
type limitedBody struct {
	io.ReadCloser

	left int64
}

// Read reads at most one byte beyond the limit, to tell a body that ends there from a longer one.
func (b *limitedBody) Read(content []byte) (int, error) {
	if b.left < 0 {
		return 0, errResponseTooLarge
	}
	if int64(len(content)) > b.left+1 {
		content = content[:b.left+1]
	}
	n, err := b.ReadCloser.Read(content)
	if b.left -= int64(n); b.left < 0 {
		return n - 1, errResponseTooLarge
	}
	return n, err
}
