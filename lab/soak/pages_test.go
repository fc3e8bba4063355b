package soak

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// pageRow is a row of the table of docs/lab.md that tells what the pages name.
type pageRow struct{ name, stated, drawn, seenBy string }

// readPageRows returns the rows of the table, without its headings.
func readPageRows(t *testing.T) (rows []pageRow) {
	t.Helper()
	text, err := os.ReadFile("../../docs/lab.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| the pages name | stated | soak | seen by |\n| --- | --- | --- | --- |\n")
	if !found {
		t.Fatal("docs/lab.md has no table of what the pages name")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.Trim(line, "|\n"), "|")
		if len(cells) != 4 {
			t.Fatalf("%q has %d cells", line, len(cells))
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if !strings.HasPrefix(cells[0], "**") {
			rows = append(rows, pageRow{cells[0], cells[1], cells[2], cells[3]})
		}
	}
	return rows
}

// Each kind of fault that the soak draws is in the table of docs/lab.md, each kind there is drawn, and what is not drawn has a reason.
func TestThePagesTroublesAreListed(t *testing.T) {
	quoted := regexp.MustCompile("`([a-z_]+)`")
	const notDrawn = "not drawn: "
	drawn := map[string]bool{SystemFaultsKind: false}
	for _, kind := range FaultKinds() {
		drawn[kind] = false
	}
	deployments := ""
	for seed := range uint64(30) {
		deployments += Draw(seed, usualOptions).Deployment
	}
	rows := readPageRows(t)
	if len(rows) < 40 {
		t.Errorf("%d rows", len(rows))
	}
	for _, r := range rows {
		if reason, not := strings.CutPrefix(r.drawn, notDrawn); not {
			if len(reason) < 10 {
				t.Errorf("%s: %q is no reason", r.name, reason)
			}
			continue
		}
		if r.stated == "" || r.seenBy == "" {
			t.Errorf("%s: no limits, or nothing that sees it", r.name)
		}
		names := quoted.FindAllStringSubmatch(r.drawn, -1)
		if len(names) == 0 {
			t.Errorf("%s: neither drawn nor %q", r.name, notDrawn)
		}
		for _, n := range names {
			if _, is := drawn[n[1]]; is {
				drawn[n[1]] = true
			} else if !strings.Contains(deployments, "\n"+n[1]+" = ") && !strings.Contains(deployments, "name = \""+n[1]+"\"") {
				t.Errorf("%s: the soak draws no %s", r.name, n[1])
			}
		}
	}
	for kind, listed := range drawn {
		if !listed {
			t.Errorf("docs/lab.md does not list %s", kind)
		}
	}
}
