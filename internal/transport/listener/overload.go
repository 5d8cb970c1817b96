package listener

import (
	"errors"
	"net/http"

	"connectrpc.com/connect"
)

// OverloadError reports a request that can't be read because clients hold all memory that requests may take.
type OverloadError struct{}

// Error returns the reason.
func (e *OverloadError) Error() string { return "too much memory is held for requests" }

// IsOverload reports whether the error is or wraps an OverloadError.
func IsOverload(err error) bool {
	var overload *OverloadError
	return errors.As(err, &overload)
}

// newOverloadError returns an OverloadError that the RPC handlers pass on to their clients.
func newOverloadError() error { return connect.NewError(connect.CodeUnavailable, &OverloadError{}) }

// retryAfterOverload is the value of Retry-After for a request that is refused because of its memory, in seconds.
const retryAfterOverload = "1"

// WriteOverload writes the response to a request that has not run because there is no memory for it. A connection with HTTP/1 is closed, as the rest of the request is not read.
func WriteOverload(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", retryAfterOverload)
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}
