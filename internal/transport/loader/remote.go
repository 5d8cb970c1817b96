package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"pimentogate.example/pimentogate/internal/transport/listener"
	"pimentogate.example/pimentogate/internal/transport/responder"
)

func (c *Command) drive(arguments []string) error {
	flags := c.newFlagSet("drive", "send queries to running entry instances",
		"loader drive -entries 127.0.0.1:7001,127.0.0.1:7002 -service tenants -per-second 200")
	entries := flags.String("entries", "", "comma-separated addresses at which entry instances serve callers")
	standins := flags.String("standins", "", "comma-separated addresses of stand-ins whose records are read")
	service := flags.String("service", "", "service to query")
	shards := flags.Int("shards", 1, "number of shards of the service, to compute the upstream work")
	perSecond := flags.Float64("per-second", 100, "mean rate, in queries per second")
	oneWayMs := flags.Float64("client-one-way-ms", 0, "one-way delay between callers and entry instances, in ms; each latency is increased by twice the delay")
	timeoutMs := flags.Int64("timeout-ms", 3000, "timeout of a query, in ms")
	seconds := flags.Float64("seconds", 15, "duration of the measurement, in seconds")
	seed := flags.Uint64("seed", 1, "seed of the arrival times")
	if err := parseFlags(flags, arguments); err != nil {
		return err
	}
	err := firstError(
		requireFlag(*entries != "", flags, "entries", "at least one address"),
		requireFlag(*service != "", flags, "service", "the name of a service"),
		requireFlag(*shards > 0, flags, "shards", "above 0"),
		requireFlag(*perSecond > 0, flags, "per-second", "above 0"),
		requireFlag(*oneWayMs >= 0, flags, "client-one-way-ms", "0 or more"),
		requireFlag(*timeoutMs > 0, flags, "timeout-ms", "above 0"),
		requireFlag(*seconds > 0, flags, "seconds", "above 0"),
	)
	if err != nil {
		return err
	}
	r := &remoteMeasurement{
		entries:  strings.Split(*entries, ","),
		standins: strings.FieldsFunc(*standins, func(c rune) bool { return c == ',' }),
		duration: secondsToDuration(*seconds),
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
		jsonOut:  c.out,
		tableOut: c.errOut,
	}
	report.add(*result)
	report.printTable()
	return nil
}

// remoteMeasurement measures entry instances that run in other processes.
type remoteMeasurement struct {
	entries  []string
	standins []string
	duration time.Duration
	load     serviceLoad
}

func (r *remoteMeasurement) measure(ctx context.Context) (*Result, error) {
	before, err := r.upstreamRecord(ctx)
	if err != nil {
		return nil, err
	}
	m := newMeasurer(r.load.shards)
	client := newClient()
	defer client.CloseIdleConnections()
	runDrivers(ctx, []*driver{newDriver(client, r.entries, r.load, m)}, r.duration)
	after, err := r.upstreamRecord(ctx)
	if err != nil {
		return nil, err
	}
	result := &Result{
		Policy:           "as-running",
		Service:          r.load.service,
		Seed:             r.load.seed,
		OfferedPerSecond: r.load.perSecond,
	}
	m.fillResult(result, r.duration)
	fillUpstreamFigures(result, before, after)
	return result, nil
}

// upstreamRecord reads the records of the stand-ins and returns their sum.
func (r *remoteMeasurement) upstreamRecord(ctx context.Context) (responder.Record, error) {
	var records []responder.Record
	for _, address := range r.standins {
		record, err := readRecord(ctx, address)
		if err != nil {
			return record, fmt.Errorf("read record of the stand-in at %s: %w", address, err)
		}
		records = append(records, record)
	}
	return sumRecords(records), nil
}

// maxRecordBytes limits the record of a stand-in.
const maxRecordBytes = 64 << 20

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
	err = json.NewDecoder(io.LimitReader(response.Body, maxRecordBytes)).Decode(&record)
	return record, err
}

// limit sends queries to a server that responds immediately, and doubles the rate until the loader falls behind.
func (c *Command) limit(arguments []string) error {
	flags := c.newFlagSet("limit", "find the rate at which the loader itself falls behind", "loader limit -from 1000")
	firstRate := flags.Float64("from", 1000, "first rate, in queries per second")
	seconds := flags.Float64("seconds", 2, "duration of each rate, in seconds")
	if err := parseFlags(flags, arguments); err != nil {
		return err
	}
	err := firstError(
		requireFlag(*firstRate > 0, flags, "from", "above 0"),
		requireFlag(*seconds > 0, flags, "seconds", "above 0"),
	)
	if err != nil {
		return err
	}
	server, err := listener.New("127.0.0.1:0", http.HandlerFunc(respondImmediately))
	if err != nil {
		return err
	}
	defer server.Close()
	report := &reporter{
		jsonOut:  c.out,
		tableOut: c.errOut,
	}
	defer report.printTable()
	for rate := *firstRate; ; rate *= 2 {
		r := &remoteMeasurement{
			entries:  []string{server.Address()},
			duration: secondsToDuration(*seconds),
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
		report.add(*result)
		if result.LoaderSaturated {
			return nil
		}
	}
}

func respondImmediately(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte(`{"outcome":"answered","coverage":1,"coverage-met":true}`))
}
