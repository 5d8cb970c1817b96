//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// sent is one attempt of a caller and its answer.
type sent struct {
	id     string
	entry  string
	path   string
	method string
	body   []byte
	at     time.Duration
	took   time.Duration
	// status is 0 without an answer.
	status int
	header http.Header
	answer []byte
	err    error
}

// caller sends requests over connections that it keeps.
type caller struct {
	world  *world
	client *http.Client
}

func newCaller(w *world, keeps bool) *caller {
	return &caller{
		world: w,
		client: &http.Client{
			Transport: &http.Transport{
				DisableKeepAlives:  !keeps,
				DisableCompression: true,
				IdleConnTimeout:    12 * time.Second,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// call sends one request. It isn't sent again by the client, since its body can't be read twice.
func (c *caller) call(ctx context.Context, entry *process, method, path string, body []byte, deadline time.Duration) sent {
	s := sent{
		id:     fmt.Sprintf("%016x", rand.Uint64()),
		entry:  entry.name,
		path:   path,
		method: method,
		body:   body,
		at:     time.Since(c.world.started),
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.world.callersOf(entry)+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		s.err = err
		return s
	}
	request.ContentLength = int64(len(body))
	request.Host = host
	request.Header.Set(names["id"], s.id)
	request.Header.Set(names["deadline"], strconv.Itoa(int(deadline.Milliseconds())))
	response, err := c.client.Do(request)
	if err == nil {
		defer response.Body.Close()
		s.status = response.StatusCode
		s.header = response.Header
		if s.answer, err = io.ReadAll(response.Body); err != nil {
			s.status = 0
		}
	}
	s.err = err
	s.took = time.Since(c.world.started) - s.at
	return s
}

// book keeps what was sent.
type book struct {
	mutex sync.Mutex
	all   []sent
}

func (b *book) add(s sent) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.all = append(b.all, s)
}

// foreignAnswers returns the successes that are not the answer of a replica which ran the request.
func foreignAnswers(b *book, l *ledger) []string {
	var found []string
	for _, s := range b.all {
		if s.status != http.StatusOK {
			continue
		}
		isOwn := false
		for _, r := range l.of(s.id) {
			isOwn = isOwn || s.header.Get(names["stamp"]) == stampOf(r.replica, s.id) && bytes.Equal(s.answer, answerOf(r.replica, s.id))
		}
		if !isOwn {
			found = append(found, fmt.Sprintf("request %s at %s: status 200 with signature %q, which is not that of an answer to it", s.id, s.entry, s.header.Get(names["stamp"])))
		}
	}
	return found
}
