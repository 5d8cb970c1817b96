package listener

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// ErrorDetail returns the first detail of type T in a connect error, or T's zero value if there is none.
func ErrorDetail[T proto.Message](err error) T {
	var zero T
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return zero
	}
	for _, detail := range connectErr.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if typed, ok := value.(T); ok {
			return typed
		}
	}
	return zero
}
