package assembler

import "context"

// closer shuts down one instance in a goroutine of its own, because an instance may wait for its peers during shutdown.
type closer struct {
	shutdown func(ctx context.Context) error
	done     chan struct{}
}

// shutdownAll calls the shutdown functions concurrently and waits for all of them.
func shutdownAll(ctx context.Context, shutdowns []func(ctx context.Context) error) {
	var closers []*closer
	for _, shutdown := range shutdowns {
		c := &closer{
			shutdown: shutdown,
			done:     make(chan struct{}),
		}
		closers = append(closers, c)
		go c.run(ctx)
	}
	for _, c := range closers {
		<-c.done
	}
}

func (c *closer) run(ctx context.Context) {
	defer close(c.done)
	_ = c.shutdown(ctx)
}
