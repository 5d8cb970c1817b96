package listener

import "net/http"

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
