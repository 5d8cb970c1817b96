package assembler

import "context"

// closer ends one instance beside the others, since each waits for its peers.
type closer struct {
	end  func(ctx context.Context) error
	done chan struct{}
}

// closeAll ends instances at once, and returns when the last has ended.
func closeAll(ctx context.Context, ends []func(ctx context.Context) error) {
	var closers []*closer
	for _, end := range ends {
		c := &closer{
			end:  end,
			done: make(chan struct{}),
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
	_ = c.end(ctx)
}
