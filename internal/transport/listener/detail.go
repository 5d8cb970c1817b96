package listener

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// DetailOf returns the first detail of the type that a refusal between processes carries, or the type's nil.
func DetailOf[T proto.Message](err error) T {
	var none T
	var refusal *connect.Error
	if !errors.As(err, &refusal) {
		return none
	}
	for _, detail := range refusal.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if found, ok := value.(T); ok {
			return found
		}
	}
	return none
}
