package controller

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	protoContentType = "application/proto"
	gzipEncoding     = "gzip"
)

// documents answers the Document calls of clients that accept compressed responses. The response is encoded and compressed once for each publication, since all entry instances fetch it at about the same time and compressing it takes milliseconds. Other calls go to the RPC handler.
type documents struct {
	controller *Controller
	handler    http.Handler

	mutex       sync.Mutex
	publication *wire.Publication
	response    []byte
}

func newDocuments(c *Controller, handler http.Handler) *documents {
	return &documents{
		controller: c,
		handler:    handler,
	}
}

// ServeHTTP writes a unary response of the Connect protocol: the message alone, with the encoding in the headers.
func (d *documents) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	accepted := strings.Split(r.Header.Get("Accept-Encoding"), ",")
	isPlain := r.Method != http.MethodPost || r.Header.Get("Content-Type") != protoContentType || strings.TrimSpace(accepted[0]) != gzipEncoding
	if isPlain {
		d.handler.ServeHTTP(w, r)
		return
	}
	var publication *wire.Publication
	err := d.controller.runInLoop(r.Context(), func(time.Time) {
		publication = d.controller.state.Publisher.Publication()
	})
	var response []byte
	if err == nil {
		response, err = d.encode(publication)
	}
	if err != nil {
		// The RPC handler reports the error.
		d.handler.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", protoContentType)
	w.Header().Set("Content-Encoding", gzipEncoding)
	// An error means that the client has gone.
	_, _ = w.Write(response)
}

// encode returns the compressed response with the publication.
func (d *documents) encode(publication *wire.Publication) ([]byte, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.response != nil && d.publication == publication {
		return d.response, nil
	}
	encoded, err := proto.Marshal(&wire.DocumentResponse{
		Publication: publication,
	})
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	d.publication = publication
	d.response = b.Bytes()
	return d.response, nil
}
