package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/responder"
)

func (c *Command) drive(arguments []string) error {
	flags := c.flags("drive", "send queries to entry instances that are running",
		"loader drive -entries 127.0.0.1:7001,127.0.0.1:7002 -service tenants -per-second 200")
	entries := flags.String("entries", "", "callers' addresses of entry instances, with commas between")
	standins := flags.String("standins", "", "addresses of stand-ins whose records are read, with commas between")
	service := flags.String("service", "", "service to ask")
	shards := flags.Int("shards", 1, "shards of the service, for the upstream work")
	perSecond := flags.Float64("per-second", 100, "mean queries a second")
	oneWayMs := flags.Float64("client-one-way-ms", 0, "one-way delay between callers and entry instances, added to each latency")
	timeoutMs := flags.Int64("timeout-ms", 3000, "deadline of a query, in ms")
	seconds := flags.Float64("seconds", 15, "length of the measurement")
	seed := flags.Uint64("seed", 1, "seed of the arrivals")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	err := firstOf(
		need(*entries != "", flags, "entries", "at least one address"),
		need(*service != "", flags, "service", "the name of a service"),
		need(*shards > 0, flags, "shards", "above 0"),
		need(*perSecond > 0, flags, "per-second", "above 0"),
		need(*oneWayMs >= 0, flags, "client-one-way-ms", "0 or more"),
		need(*timeoutMs > 0, flags, "timeout-ms", "above 0"),
		need(*seconds > 0, flags, "seconds", "above 0"),
	)
	if err != nil {
		return err
	}
	r := &remote{
		entries:  strings.Split(*entries, ","),
		standins: strings.FieldsFunc(*standins, func(c rune) bool { return c == ',' }),
		length:   toDuration(*seconds),
		load: serviceLoad{
			service:      *service,
			shards:       *shards,
			perSecond:    *perSecond,
			timeout:      time.Duration(*timeoutMs) * time.Millisecond,
			clientOneWay: time.Duration(*oneWayMs * float64(time.Millisecond)),
			seed:         *seed,
		},
	}
	result, err := r.measure(context.Background())
	if err != nil {
		return err
	}
	report := &reporter{
		lines: c.out,
		table: c.errOut,
	}
	report.take(*result)
	report.close()
	return nil
}

// remote measures processes that run already.
type remote struct {
	entries  []string
	standins []string
	length   time.Duration
	load     serviceLoad
}

func (r *remote) measure(ctx context.Context) (*Result, error) {
	before, err := r.upstreams(ctx)
	if err != nil {
		return nil, err
	}
	m := newMeasurer(r.load.shards)
	client := newClient()
	defer client.CloseIdleConnections()
	runAll(ctx, []*driver{newDriver(client, r.entries, r.load, m)}, r.length)
	after, err := r.upstreams(ctx)
	if err != nil {
		return nil, err
	}
	result := &Result{
		Policy:           "as-running",
		Service:          r.load.service,
		Seed:             r.load.seed,
		OfferedPerSecond: r.load.perSecond,
	}
	m.fill(result, r.length)
	fillUpstreams(result, before, after)
	return result, nil
}

func (r *remote) upstreams(ctx context.Context) (responder.Record, error) {
	var records []responder.Record
	for _, address := range r.standins {
		record, err := readRecord(ctx, address)
		if err != nil {
			return record, fmt.Errorf("record of the stand-in at %s: %w", address, err)
		}
		records = append(records, record)
	}
	return sum(records), nil
}

func readRecord(ctx context.Context, address string) (responder.Record, error) {
	var record responder.Record
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", http.NoBody)
	if err != nil {
		return record, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return record, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&record)
	return record, err
}

// limit drives a server that answers at once, at rates that double until the loader falls behind.
func (c *Command) limit(arguments []string) error {
	flags := c.flags("limit", "find the rate from which the loader itself falls behind", "loader limit -from 1000")
	from := flags.Float64("from", 1000, "first rate, in queries a second")
	seconds := flags.Float64("seconds", 2, "length of each rate")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	err := firstOf(
		need(*from > 0, flags, "from", "above 0"),
		need(*seconds > 0, flags, "seconds", "above 0"),
	)
	if err != nil {
		return err
	}
	server, err := listener.New("127.0.0.1:0", http.HandlerFunc(answerAtOnce))
	if err != nil {
		return err
	}
	defer server.Close()
	report := &reporter{
		lines: c.out,
		table: c.errOut,
	}
	defer report.close()
	for rate := *from; ; rate *= 2 {
		r := &remote{
			entries: []string{server.Address()},
			length:  toDuration(*seconds),
			load: serviceLoad{
				service:   "nothing",
				shards:    1,
				perSecond: rate,
				timeout:   time.Second,
				seed:      1,
			},
		}
		result, err := r.measure(context.Background())
		if err != nil {
			return err
		}
		report.take(*result)
		if result.LoaderSaturated {
			return nil
		}
	}
}

func answerAtOnce(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte(`{"outcome":"answered","coverage":1,"coverage-met":true}`))
}
