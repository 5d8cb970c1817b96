package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"pimentogate.example/pimentogate/pkg/wire"
)

const (
	// contactTimeout is how long the configuration counts as confirmed after a message from a control instance. A stream
	// without messages for that long is closed.
	contactTimeout = 2 * time.Second
	reconnectDelay = 100 * time.Millisecond
)

// watcher keeps a stream open to one control instance, and switches to the next instance when the stream breaks or
// receives nothing within contactTimeout.
type watcher struct {
	gateway       *Gateway
	lastContactMs atomic.Int64
	nextIndex     int
	done          chan struct{}
}

func newWatcher(g *Gateway) *watcher {
	return &watcher{
		gateway: g,
		done:    make(chan struct{}),
	}
}

// isConfigConfirmed reports whether a control instance has sent a message within contactTimeout.
func (w *watcher) isConfigConfirmed() bool {
	return time.Since(time.UnixMilli(w.lastContactMs.Load())) < contactTimeout
}

// hasHadContact reports whether a control instance has ever sent a message to this process.
func (w *watcher) hasHadContact() bool { return w.lastContactMs.Load() != 0 }

func (w *watcher) run() {
	defer close(w.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.cancelOnShutdown(cancel)
	for ctx.Err() == nil {
		addresses := w.gateway.settings.Control
		w.watch(ctx, addresses[w.nextIndex%len(addresses)])
		w.nextIndex++
		sleep(ctx, reconnectDelay)
	}
}

// cancelOnShutdown cancels the stream when the instance stops.
func (w *watcher) cancelOnShutdown(cancel context.CancelFunc) {
	<-w.gateway.stopBackground
	cancel()
}

// watch applies the configurations streamed by one control instance until the stream breaks or times out.
func (w *watcher) watch(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	contactTimer := time.AfterFunc(contactTimeout, cancel)
	defer contactTimer.Stop()
	stream := w.gateway.control.clientFor(address).Watch(ctx)
	defer func() { _ = stream.CloseResponse() }()
	summaries := &summarizer{
		gateway: w.gateway,
	}
	if stream.Send(w.newWatchRequest(summaries)) != nil {
		return
	}
	for {
		response, err := stream.Receive()
		if err != nil {
			return
		}
		contactTimer.Reset(contactTimeout)
		w.gateway.applyConfig(response.GetConfig())
		w.lastContactMs.Store(time.Now().UnixMilli())
		if stream.Send(w.newWatchRequest(summaries)) != nil {
			return
		}
	}
}

func (w *watcher) newWatchRequest(summaries *summarizer) *wire.WatchRequest {
	request := &wire.WatchRequest{
		Instance: w.gateway.settings.Instance,
		Zone:     w.gateway.settings.Zone,
	}
	_ = w.gateway.runInLoop(context.Background(), func(now time.Time) {
		request.Revision = w.gateway.machine.Config().GetRevision()
		request.Summary = summaries.nextIfChanged(now)
	})
	return request
}
