package node

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lapisshelf/decide/safety"
	"lapisshelf/internal/control"
)

// figures writes Prometheus' text form, version 0.0.4.
type figures struct{ strings.Builder }

func (f *figures) head(name, kind, help string) {
	fmt.Fprintf(f, "# HELP app_%s %s\n# TYPE app_%s %s\n", name, help, name, kind)
}

func (f *figures) one(name, kind, help string, value int64) {
	f.head(name, kind, help)
	fmt.Fprintf(f, "app_%s %d\n", name, value)
}

// label escapes a label's value.
func label(value string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(value, "?"))
}

// vars gives the figures, from the same counts as the log's counters.
func (n *Node) vars() control.Reply {
	var f figures
	f.head("requests_total", "counter", "Requests ended, by class and how.")
	for _, name := range slices.Sorted(maps.Keys(n.classes)) {
		for how, outcome := range endingNames {
			f.WriteString(`app_requests_total{class="` + label(name) + `",outcome="` + outcome + `"} `)
			f.WriteString(strconv.FormatInt(n.classes[name].ended[how], 10) + "\n")
		}
	}
	f.one("attempts_total", "counter", "Attempts written whole to servers.", n.count.written)
	f.one("in_flight", "gauge", "Requests taken and not ended.", int64(n.inFlight))
	known, excluded := n.policy.CacheCounts(n.loop.Now())
	f.one("cache_servers_known", "gauge", "Cache servers in the list.", int64(known))
	f.one("cache_servers_excluded", "gauge", "Listed cache servers that are avoided now.", int64(excluded))
	f.one("reloads_ok_total", "counter", "Configurations reread and taken.", n.count.reloads)
	f.one("reloads_failed_total", "counter", "Configurations reread and not taken.", n.count.reloadsBad)
	f.one("violations_total", "counter", "What went against a rule though guards stand before it; should be 0.", n.count.violations)
	f.one("overdue_total", "counter", "Requests failed at the last moment because nothing had answered them; should be 0.", n.count.overdue)
	f.head("sends_refused_total", "counter", "Attempts that were not written, by why.")
	for why := safety.Allowed + 1; why < safety.NumReasons; why++ {
		fmt.Fprintf(&f, "app_sends_refused_total{reason=\"%s\"} %d\n", why, n.count.sendsRefused[why])
	}
	f.head("client_connections_closed_total", "counter", "Clients' connections that have ended, by why.")
	for why, name := range closeReasonNames {
		fmt.Fprintf(&f, "app_client_connections_closed_total{reason=\"%s\"} %d\n", name, n.count.closings[why])
	}
	return control.Reply{Status: 200, Type: "text/plain; version=0.0.4; charset=utf-8", Body: []byte(f.String())}
}
