package soak

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"

	"lapisshelf/lab/seen"
	"lapisshelf/lab/stage"
)

// Limits of the checks that a soak adds to the rules.
const (
	readyTimeout   = 10 * time.Second // minReadyShare of the started processes must be ready in this time
	minReadyShare  = 0.9
	tailShare      = 0.15 // last part of the load, after all faults
	minTailService = 0.7  // minimum service in the tail
	maxFindings    = 12   // of a run, further ones are not reported
	maxLogLine     = 1 << 20
)

// findFailures returns the failures of a run, each in a line.
func findFailures(r *stage.Result, length time.Duration) (findings []string) {
	add := func(format string, args ...any) {
		if len(findings) < maxFindings {
			findings = append(findings, fmt.Sprintf(format, args...))
		}
	}
	for i, b := range r.Verdict.Violations {
		add("%s", b.Summary())
		if i == 0 { // the first breach is followed by the history of its request
			for _, line := range b.Timeline {
				add("  %s", line)
			}
		}
	}
	for _, name := range []string{"node_crashes", "said_overdue", "said_panics", "said_violations"} {
		if n := r.Verdict.Figures[name]; n > 0 {
			add("%s: %g", name, n)
		}
	}
	starts, ready := 0, 0
	for _, l := range r.Record.NodeProcesses {
		if lines := violationLines(l.LogFile); len(lines) > 0 {
			add("node %d process %d: %s", l.Node+1, l.Generation+1, lines[0])
		}
		if !mustBecomeReady(l, length) {
			continue
		}
		starts++
		if l.ReadyAt != 0 && l.ReadyAt-l.StartedAt <= readyTimeout {
			ready++
		}
	}
	if float64(ready) < minReadyShare*float64(starts) {
		add("ready within %v: %d of %d processes", readyTimeout, ready, starts)
	}
	if share := serviceOfTail(r, length); share < minTailService {
		add("service after all faults: %.2f", share)
	}
	return findings
}

// mustBecomeReady reports whether a process ran long enough that it must have become ready.
func mustBecomeReady(l *seen.NodeProcess, length time.Duration) bool {
	ended := l.EndedAt
	if ended == 0 {
		ended = length
	}
	return ended-l.StartedAt > readyTimeout && l.StartedAt < length-readyTimeout
}

// serviceOfTail returns the service in the last part of the load; 1 if it has no requests.
func serviceOfTail(r *stage.Result, length time.Duration) float64 {
	from := int((1 - tailShare) * length.Seconds())
	total, served := 0.0, 0.0
	for _, s := range r.Verdict.Seconds {
		if s.At >= from && time.Duration(s.At)*time.Second < length {
			total += float64(s.Arrivals)
			served += float64(s.Arrivals) * s.Service
		}
	}
	if total == 0 {
		return 1
	}
	return served / total
}

// violationLines returns the lines of a log that report a violation or a panic.
func violationLines(path string) (lines []string) {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for in.Scan() {
		if strings.Contains(in.Text(), "event=violation ") || strings.Contains(in.Text(), "event=panic ") {
			lines = append(lines, in.Text())
		}
	}
	return lines
}
