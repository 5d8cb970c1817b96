package exchanger

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// expiry returns when a connection must not be used any more by what the answer says of idle time; the zero time where it says nothing.
func expiry(response *http.Response) time.Time {
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if name != "timeout" || err != nil || seconds <= 0 {
			continue
		}
		return time.Now().Add(time.Duration(seconds)*time.Second - idleMargin)
	}
	return time.Time{}
}
