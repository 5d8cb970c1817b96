package exchanger

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveExpiry returns until when a connection may be reused according to the response's Keep-Alive header, or the zero time if the header sets no timeout.
func keepAliveExpiry(response *http.Response) time.Time {
	for _, directive := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(directive), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil || seconds <= 0 {
			continue
		}
		return time.Now().Add(time.Duration(seconds)*time.Second - idleMargin)
	}
	return time.Time{}
}
