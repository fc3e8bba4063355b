package soak

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"time"
)

// Pair is two kinds of troubles, in the order of their names.
type Pair [2]string

// Coverage counts how often pairs of troubles overlapped in runs that were judged.
type Coverage struct {
	Runs  int
	Pairs map[Pair]int
}

// SystemFaultsKind names the failing system calls of a plan among the kinds of troubles.
const SystemFaultsKind = "calls_fail"

// Add counts the pairs of a plan that was played.
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

// Missing are the pairs of the kinds that never overlapped.
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

// CSV writes the pairs, for each 100 runs.
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
