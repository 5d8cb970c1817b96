package loader

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/go-logr/logr"
)

// A quick run fits any machine: two policies within 40 s.
const (
	quickScale   = 0.4
	quickSeconds = 8
	quickWarmUp  = 2
)

const (
	mostLoad  = 10
	mostScale = 4
)

// compareOptions are the flags of compare.
type compareOptions struct {
	flags      *flag.FlagSet
	preset     string
	policies   string
	entries    int
	load       float64
	scale      float64
	workMs     float64
	workSigma  float64
	stragglers bool
	timeoutMs  int64
	seconds    float64
	warmUp     float64
	seed       uint64
	first      bool
	quick      bool
}

func (c *Command) compare(arguments []string) error {
	o := &compareOptions{
		flags: c.flags("compare", "bring a customer's sizes up in this process and measure routing policies in turn on the same seed",
			"loader compare -preset kvali-desk -policies "+defaultPolicies+" -load 0.5"),
	}
	o.define()
	if err := parse(o.flags, arguments); err != nil {
		return err
	}
	if o.quick {
		o.first = true
		o.scale = quickScale
		o.seconds = quickSeconds
		o.warmUp = quickWarmUp
	}
	if err := o.check(); err != nil {
		return err
	}
	report := &reporter{
		lines: c.out,
		table: c.errOut,
	}
	defer report.close()
	return o.comparison().Run(context.Background(), report.take)
}

func (o *compareOptions) define() {
	var listed strings.Builder
	for _, p := range presets() {
		listed.WriteString("\n" + p.String())
	}
	f := o.flags
	f.StringVar(&o.preset, "preset", presets()[0].name, "the sizes, one of:"+listed.String())
	f.StringVar(&o.policies, "policies", defaultPolicies, "values of the entry setting "+policySetting+" to compare, with commas between; "+defaultPolicy+" leaves it out")
	f.IntVar(&o.entries, "entries", 8, "entry instances")
	f.Float64Var(&o.load, "load", 0.5, "load as a share of the capacity of the slots")
	f.Float64Var(&o.scale, "scale", 1, "share of the preset's shards, or of the replicas where there is one shard")
	f.Float64Var(&o.workMs, "work-ms", 10, "median work of a sub-request, in ms")
	f.Float64Var(&o.workSigma, "work-sigma", 0.5, "spread of the work, as the sigma of its logarithm")
	f.BoolVar(&o.stragglers, "stragglers", true, "one replica in ten is ten times slower for 300 ms at a time, never two of one shard")
	f.Int64Var(&o.timeoutMs, "timeout-ms", 3000, "deadline of a query, in ms")
	f.Float64Var(&o.seconds, "seconds", 15, "length of each measurement")
	f.Float64Var(&o.warmUp, "warm-up", 3, "seconds of load before each measurement")
	f.Uint64Var(&o.seed, "seed", 1, "seed of arrivals and work")
	f.BoolVar(&o.first, "first-service", false, "only the preset's first service")
	f.BoolVar(&o.quick, "quick", false, "a short run at a smaller size, under 40 s")
}

func (o *compareOptions) check() error {
	_, known := findPreset(o.preset)
	return firstOf(
		need(known, o.flags, "preset", "one of "+strings.Join(presetNames(), ", ")),
		need(o.policies != "", o.flags, "policies", "names with commas between"),
		need(o.entries > 0, o.flags, "entries", "above 0"),
		need(o.load > 0 && o.load <= mostLoad, o.flags, "load", "above 0 and at most 10"),
		need(o.scale > 0 && o.scale <= mostScale, o.flags, "scale", "above 0 and at most 4"),
		need(o.workMs > 0, o.flags, "work-ms", "above 0"),
		need(o.workSigma >= 0, o.flags, "work-sigma", "0 or more"),
		need(o.timeoutMs > 0, o.flags, "timeout-ms", "above 0"),
		need(o.seconds > 0, o.flags, "seconds", "above 0"),
		need(o.warmUp >= 0, o.flags, "warm-up", "0 or more"),
	)
}

func (o *compareOptions) comparison() *Comparison {
	chosen, _ := findPreset(o.preset)
	if o.first {
		chosen.services = chosen.services[:1]
	}
	return &Comparison{
		preset:   chosen.scale(o.scale),
		policies: strings.Split(o.policies, ","),
		entries:  o.entries,
		share:    o.load,
		work: work{
			medianMs:   o.workMs,
			sigma:      o.workSigma,
			stragglers: o.stragglers,
		},
		timeout: time.Duration(o.timeoutMs) * time.Millisecond,
		warmUp:  toDuration(o.warmUp),
		length:  toDuration(o.seconds),
		seed:    o.seed,
		log:     logr.Discard(),
	}
}
