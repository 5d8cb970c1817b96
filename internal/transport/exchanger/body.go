package exchanger

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"sync"

	"pimentogate.example/pimentogate/internal/coordination/limiter"
	"pimentogate.example/pimentogate/internal/coordination/scatterer"
)

const (
	// maxBodySize limits a response body, which is held in memory, in bytes.
	maxBodySize = 16 << 20
	// maxBufferedBodies limits the bytes of all bodies that are being read or wait for their callers, beyond the first bodyChunkSize of each. The replicas of one service get half of them, so that their faults leave room for the bodies of others.
	maxBufferedBodies        = 32 << 20
	maxBufferedServiceBodies = maxBufferedBodies / 2
	// bodyChunkSize is the unit, in bytes, in which a large body is read. The first chunk needs no budget, so that large bodies do not hold up the usual small ones.
	bodyChunkSize = 16 << 10
)

var (
	errBodyTooLarge   = errors.New("answer too large")
	errBodiesTooLarge = errors.New("answers too large in total")
)

// bodyChunk is a part of a large body.
type bodyChunk [bodyChunkSize]byte

// bodyStore reads the bodies of responses within a common budget.
type bodyStore struct {
	budget *limiter.ByteBudget
	// chunks holds chunks to be used again, so that bodies which are not kept leave no garbage.
	chunks sync.Pool
	// joining is held while a body is joined from its chunks, which takes its size once more.
	joining sync.Mutex
}

func newBodyStore() *bodyStore {
	return &bodyStore{
		budget: limiter.NewByteBudget(maxBufferedBodies, maxBufferedServiceBodies),
	}
}

// read returns the body of a replica's response. The lease holds the bytes beyond the first chunk, until it is released.
func (s *bodyStore) read(response *http.Response, service string) ([]byte, *limiter.ByteLease, error) {
	switch {
	case response.Body == http.NoBody:
		return nil, nil, nil
	case response.ContentLength > maxBodySize:
		return nil, nil, errBodyTooLarge
	case response.ContentLength >= 0 && response.ContentLength <= bodyChunkSize:
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, nil, err
	}
	r := &bodyReader{
		store:  s,
		lease:  s.budget.NewLease(service),
		source: response.Body,
		length: response.ContentLength,
	}
	body, err := r.read()
	if err != nil {
		r.lease.Release()
		return nil, nil, err
	}
	return body, r.lease, nil
}

// bodyReader reads one large body, or one without a length, in chunks.
type bodyReader struct {
	store  *bodyStore
	lease  *limiter.ByteLease
	source io.Reader
	// length is the length of the body, -1 if it ends with its source.
	length int64
	chunks []*bodyChunk
	size   int64
}

func (r *bodyReader) read() ([]byte, error) {
	defer r.recycle()
	for {
		chunk, err := r.nextChunk()
		if err != nil {
			return nil, err
		}
		n, err := fill(r.source, chunk)
		r.size += int64(n)
		switch {
		case r.size > maxBodySize:
			return nil, errBodyTooLarge
		case r.length >= 0 && r.size == r.length:
			return r.join(), nil
		case r.length < 0 && errors.Is(err, io.EOF):
			return r.join(), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// nextChunk returns the space for the next bytes, of which the first chunk needs no budget.
func (r *bodyReader) nextChunk() ([]byte, error) {
	if len(r.chunks) > 0 && !r.lease.TryGrow(bodyChunkSize) {
		return nil, errBodiesTooLarge
	}
	chunk, ok := r.store.chunks.Get().(*bodyChunk)
	if !ok {
		chunk = new(bodyChunk)
	}
	r.chunks = append(r.chunks, chunk)
	if r.length < 0 {
		return chunk[:], nil
	}
	return chunk[:min(bodyChunkSize, r.length-r.size)], nil
}

// fill reads until the space is full or the source returns an error.
func fill(source io.Reader, space []byte) (int, error) {
	filled := 0
	for filled < len(space) {
		n, err := source.Read(space[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

// join returns the body in one piece. Bodies are joined one at a time.
func (r *bodyReader) join() []byte {
	if len(r.chunks) > 1 {
		r.store.joining.Lock()
		defer r.store.joining.Unlock()
	}
	body := make([]byte, 0, r.size)
	for _, chunk := range r.chunks {
		body = append(body, chunk[:min(bodyChunkSize, r.size-int64(len(body)))]...)
		r.store.chunks.Put(chunk)
	}
	r.chunks = nil
	return body
}

// recycle returns the chunks of a body that is not kept.
func (r *bodyReader) recycle() {
	for _, chunk := range r.chunks {
		r.store.chunks.Put(chunk)
	}
	r.chunks = nil
}

// keep has the outcome's reply hold the lease of its body until it is released or garbage. Without a reply the lease is released.
func keep(outcome *scatterer.Outcome, lease *limiter.ByteLease) {
	if lease == nil {
		return
	}
	if outcome.Reply == nil || lease.Bytes() == 0 {
		lease.Release()
		return
	}
	outcome.Reply.Lease = lease
	runtime.AddCleanup(outcome.Reply, (*limiter.ByteLease).Release, lease)
}
