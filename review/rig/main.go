//go:build review

// Command rig plays one case of the review: it starts a small deployment of the project's own programs and plays the
// platform, the operator, replicas and callers.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mutex  sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
}

func (r *recorder) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var scenarios = map[string]func(d *deployment, trouble bool) int{
	"stray":   playStray,
	"late":    playLate,
	"lost":    playLost,
	"slashes": playSlashes,
	"gone":    playGone,
	"hangup":  playHangup,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: rig SCENARIO PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(scenario, program, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	record := &recorder{start: time.Now(), file: file, writer: bufio.NewWriter(file)}
	defer func() {
		_ = record.writer.Flush()
		_ = file.Close()
	}()
	d, err := newDeployment(program, record)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer d.close()
	if err := d.startAll(); err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	result := scenarios[scenario](d, trouble)
	record.note("result: %d (0 held, 1 broken, 2 not run); disruption: %t", result, trouble)
	return result
}
