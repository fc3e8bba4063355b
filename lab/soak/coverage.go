package soak

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"time"
)

// Pair holds two kinds of faults in alphabetical order.
type Pair [2]string

// Coverage counts how often faults of two kinds overlapped in judged runs.
type Coverage struct {
	Runs  int
	Pairs map[Pair]int
}

// SystemFaultsKind stands for the system faults of a plan among the kinds of faults.
const SystemFaultsKind = "calls_fail"

// Add counts the pairs of the plan of a judged run.
func (c *Coverage) Add(p *Plan, length time.Duration) {
	if c.Pairs == nil {
		c.Pairs = map[Pair]int{}
	}
	c.Runs++
	list := slices.Clone(p.Faults)
	if p.SystemFaults != "" {
		list = append(list, Fault{Kind: SystemFaultsKind, For: length})
	}
	for i, a := range list {
		for _, b := range list[i+1:] {
			if a.At < b.end() && b.At < a.end() {
				pair := Pair{a.Kind, b.Kind}
				slices.Sort(pair[:])
				c.Pairs[pair]++
			}
		}
	}
}

// Missing returns the pairs of the given kinds that never overlapped.
func (c *Coverage) Missing(kinds []string) (list []Pair) {
	for i, a := range kinds {
		for _, b := range kinds[i:] {
			pair := Pair{a, b}
			slices.Sort(pair[:])
			if c.Pairs[pair] == 0 {
				list = append(list, pair)
			}
		}
	}
	return list
}

// CSV writes the number of overlaps of each pair, in total and per 100 runs.
func (c *Coverage) CSV(to io.Writer) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"trouble", "with", "overlaps", "per_100_runs"}}
	var pairs []Pair
	for p := range c.Pairs {
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, func(a, b Pair) int { return slices.Compare(a[:], b[:]) })
	for _, p := range pairs {
		n := c.Pairs[p]
		rows = append(rows, []string{p[0], p[1], fmt.Sprint(n), fmt.Sprintf("%.1f", 100*float64(n)/float64(max(1, c.Runs)))})
	}
	return w.WriteAll(rows)
}
