package exchanger

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
)

const (
	// maxBodySize limits a response body, which is held in memory, in bytes.
	maxBodySize = 16 << 20
	// maxBufferedBodies limits the bytes of all bodies that are being read, beyond the first bodyChunkSize of each.
	maxBufferedBodies = 32 << 20
	// bodyChunkSize is the unit, in bytes, in which a body without a length is read. The first chunk needs no budget, so that large bodies do not hold up the usual small ones.
	bodyChunkSize = 64 << 10
)

var (
	errBodyTooLarge   = errors.New("answer too large")
	errBodiesTooLarge = errors.New("answers too large in total")
)

// bodyReader reads one response body within the budget shared by all bodies.
type bodyReader struct {
	budget   *limiter.ByteBudget
	acquired int64
}

// read returns the body, in a single allocation if its length is known.
func (r *bodyReader) read(response *http.Response) ([]byte, error) {
	defer func() { r.budget.Release(r.acquired) }()
	switch {
	case response.Body == http.NoBody:
		return nil, nil
	case response.ContentLength > maxBodySize:
		return nil, errBodyTooLarge
	case response.ContentLength >= 0:
		return r.readKnownLength(response.Body, response.ContentLength)
	default:
		return r.readToEnd(response.Body)
	}
}

func (r *bodyReader) readKnownLength(source io.Reader, length int64) ([]byte, error) {
	if err := r.acquire(length - bodyChunkSize); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(source, body)
	return body, err
}

func (r *bodyReader) readToEnd(source io.Reader) ([]byte, error) {
	var body bytes.Buffer
	for {
		n, err := io.CopyN(&body, source, bodyChunkSize)
		switch {
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, err
		case body.Len() > maxBodySize:
			return nil, errBodyTooLarge
		}
		if err := r.acquire(n); err != nil {
			return nil, err
		}
	}
}

// acquire takes bytes from the budget; a count of 0 or less needs none.
func (r *bodyReader) acquire(count int64) error {
	if count <= 0 {
		return nil
	}
	if !r.budget.TryAcquire(count) {
		return errBodiesTooLarge
	}
	r.acquired += count
	return nil
}
