package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// contactLimit is how long the configuration counts as confirmed after control was heard.
	contactLimit = 2 * time.Second
	watchPause   = 100 * time.Millisecond
)

// watcher keeps a stream from one control instance, and goes to the next when it breaks or falls silent.
type watcher struct {
	gateway *Gateway
	heardAt atomic.Int64
	next    int
	done    chan struct{}
}

func newWatcher(g *Gateway) *watcher {
	return &watcher{
		gateway: g,
		done:    make(chan struct{}),
	}
}

// confirmed reports whether control was heard within the contact limit.
func (w *watcher) confirmed() bool {
	return time.Since(time.UnixMilli(w.heardAt.Load())) < contactLimit
}

// wasHeard reports whether control was ever heard.
func (w *watcher) wasHeard() bool { return w.heardAt.Load() != 0 }

func (w *watcher) run() {
	defer close(w.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.loop(cancel)
	for ctx.Err() == nil {
		addresses := w.gateway.settings.Control
		w.follow(ctx, addresses[w.next%len(addresses)])
		w.next++
		pause(ctx, watchPause)
	}
}

// loop ends the stream when the instance stops.
func (w *watcher) loop(cancel context.CancelFunc) {
	<-w.gateway.closing
	cancel()
}

// follow takes what one control instance streams until it breaks or falls silent.
func (w *watcher) follow(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(contactLimit, cancel)
	defer silence.Stop()
	stream := w.gateway.control.at(address).Watch(ctx)
	defer func() { _ = stream.CloseResponse() }()
	summaries := &summarizer{
		gateway: w.gateway,
	}
	if stream.Send(w.position(summaries)) != nil {
		return
	}
	for {
		response, err := stream.Receive()
		if err != nil {
			return
		}
		silence.Reset(contactLimit)
		w.gateway.configure(response.GetConfig())
		w.heardAt.Store(time.Now().UnixMilli())
		if stream.Send(w.position(summaries)) != nil {
			return
		}
	}
}

func (w *watcher) position(summaries *summarizer) *wire.WatchRequest {
	request := &wire.WatchRequest{
		Instance: w.gateway.settings.Instance,
		Zone:     w.gateway.settings.Zone,
	}
	_ = w.gateway.ask(context.Background(), func(now time.Time) {
		request.Revision = w.gateway.machine.Config().GetRevision()
		request.Summary = summaries.changed(now)
	})
	return request
}
