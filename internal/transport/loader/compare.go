package loader

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/go-logr/logr"
)

// Values of -quick, small enough for any machine: two policies take less than 40 s.
const (
	quickScale   = 0.4
	quickSeconds = 8
	quickWarmUp  = 2
)

// Upper limits of -load and -scale.
const (
	maxLoad  = 10
	maxScale = 4
)

// compareOptions holds the values of the compare flags.
type compareOptions struct {
	flags            *flag.FlagSet
	preset           string
	policies         string
	entries          int
	load             float64
	scale            float64
	workMs           float64
	workSigma        float64
	stragglers       bool
	timeoutMs        int64
	seconds          float64
	warmUp           float64
	seed             uint64
	firstServiceOnly bool
	quick            bool
}

func (c *Command) compare(arguments []string) error {
	o := &compareOptions{
		flags: c.newFlagSet("compare", "start the services of a preset in this process and measure routing policies one after the other with the same seed",
			"loader compare -preset kvali-desk -policies "+defaultPolicies+" -load 0.5"),
	}
	o.defineFlags()
	if err := parseFlags(o.flags, arguments); err != nil {
		return err
	}
	if o.quick {
		o.firstServiceOnly = true
		o.scale = quickScale
		o.seconds = quickSeconds
		o.warmUp = quickWarmUp
	}
	if err := o.validate(); err != nil {
		return err
	}
	report := &reporter{
		jsonOut:  c.out,
		tableOut: c.errOut,
	}
	defer report.printTable()
	return o.newComparison().Run(context.Background(), report.add)
}

func (o *compareOptions) defineFlags() {
	var presetList strings.Builder
	for _, p := range presets() {
		presetList.WriteString("\n" + p.String())
	}
	f := o.flags
	f.StringVar(&o.preset, "preset", presets()[0].name, "sizes of the services, one of:"+presetList.String())
	f.StringVar(&o.policies, "policies", defaultPolicies, "comma-separated values of the entry setting "+policySetting+" to compare; "+defaultPolicy+" leaves the setting out")
	f.IntVar(&o.entries, "entries", 8, "number of entry instances")
	f.Float64Var(&o.load, "load", 0.5, "load as a share of the capacity of the slots")
	f.Float64Var(&o.scale, "scale", 1, "factor for the number of shards, or of replicas for a service with one shard")
	f.Float64Var(&o.workMs, "work-ms", 10, "median work time of a sub-request, in ms")
	f.Float64Var(&o.workSigma, "work-sigma", 0.5, "standard deviation of the logarithm of the work time")
	f.BoolVar(&o.stragglers, "stragglers", true, "make one replica in ten ten times slower for 300 ms at a time, never two of one shard")
	f.Int64Var(&o.timeoutMs, "timeout-ms", 3000, "timeout of a query, in ms")
	f.Float64Var(&o.seconds, "seconds", 15, "duration of each measurement, in seconds")
	f.Float64Var(&o.warmUp, "warm-up", 3, "seconds of load before each measurement")
	f.Uint64Var(&o.seed, "seed", 1, "seed of the arrival and work times")
	f.BoolVar(&o.firstServiceOnly, "first-service", false, "measure only the first service of the preset")
	f.BoolVar(&o.quick, "quick", false, "make a short run at a smaller size, in less than 40 s")
}

func (o *compareOptions) validate() error {
	_, known := findPreset(o.preset)
	return firstError(
		requireFlag(known, o.flags, "preset", "one of "+strings.Join(presetNames(), ", ")),
		requireFlag(o.policies != "", o.flags, "policies", "comma-separated names"),
		requireFlag(o.entries > 0, o.flags, "entries", "above 0"),
		requireFlag(o.load > 0 && o.load <= maxLoad, o.flags, "load", "above 0 and at most 10"),
		requireFlag(o.scale > 0 && o.scale <= maxScale, o.flags, "scale", "above 0 and at most 4"),
		requireFlag(o.workMs > 0, o.flags, "work-ms", "above 0"),
		requireFlag(o.workSigma >= 0, o.flags, "work-sigma", "0 or more"),
		requireFlag(o.timeoutMs > 0, o.flags, "timeout-ms", "above 0"),
		requireFlag(o.seconds > 0, o.flags, "seconds", "above 0"),
		requireFlag(o.warmUp >= 0, o.flags, "warm-up", "0 or more"),
	)
}

func (o *compareOptions) newComparison() *Comparison {
	selected, _ := findPreset(o.preset)
	if o.firstServiceOnly {
		selected.services = selected.services[:1]
	}
	return &Comparison{
		preset:     selected.scaledBy(o.scale),
		policies:   strings.Split(o.policies, ","),
		entryCount: o.entries,
		loadShare:  o.load,
		workload: workload{
			medianMs:   o.workMs,
			sigma:      o.workSigma,
			stragglers: o.stragglers,
		},
		timeout:  time.Duration(o.timeoutMs) * time.Millisecond,
		warmUp:   secondsToDuration(o.warmUp),
		duration: secondsToDuration(o.seconds),
		seed:     o.seed,
		log:      logr.Discard(),
	}
}
