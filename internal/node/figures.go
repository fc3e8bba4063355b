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

// metricsWriter writes the Prometheus text exposition format, version 0.0.4.
type metricsWriter struct{ strings.Builder }

func (f *metricsWriter) writeHeader(name, kind, help string) {
	fmt.Fprintf(f, "# HELP app_%s %s\n# TYPE app_%s %s\n", name, help, name, kind)
}

func (f *metricsWriter) writeMetric(name, kind, help string, value int64) {
	f.writeHeader(name, kind, help)
	fmt.Fprintf(f, "app_%s %d\n", name, value)
}

// escapeLabel escapes a label value.
func escapeLabel(value string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(strings.ToValidUTF8(value, "?"))
}

// metrics answers a scrape. The values come from the same counters as the log line.
func (n *Node) metrics() control.Reply {
	var f metricsWriter
	f.writeHeader("requests_total", "counter", "Requests ended, by class and how.")
	for _, name := range slices.Sorted(maps.Keys(n.classes)) {
		for how, outcome := range endingNames {
			f.WriteString(`app_requests_total{class="` + escapeLabel(name) + `",outcome="` + outcome + `"} `)
			f.WriteString(strconv.FormatInt(n.classes[name].ended[how], 10) + "\n")
		}
	}
	f.writeMetric("attempts_total", "counter", "Attempts written whole to servers.", n.count.written)
	f.writeMetric("in_flight", "gauge", "Requests taken and not ended.", int64(n.inFlight))
	known, excluded := n.policy.CacheCounts(n.loop.Now())
	f.writeMetric("cache_servers_known", "gauge", "Cache servers in the list.", int64(known))
	f.writeMetric("cache_servers_excluded", "gauge", "Listed cache servers that are avoided now.", int64(excluded))
	f.writeMetric("reloads_ok_total", "counter", "Configurations reread and taken.", n.count.reloads)
	f.writeMetric("reloads_failed_total", "counter", "Configurations reread and not taken.", n.count.reloadsFailed)
	f.writeMetric("violations_total", "counter", "What went against a rule though guards stand before it; should be 0.", n.count.violations)
	f.writeMetric("overdue_total", "counter", "Requests failed at the last moment because nothing had answered them; should be 0.", n.count.overdue)
	f.writeHeader("sends_refused_total", "counter", "Attempts that were not written, by why.")
	for why := safety.Allowed + 1; why < safety.NumReasons; why++ {
		fmt.Fprintf(&f, "app_sends_refused_total{reason=\"%s\"} %d\n", why, n.count.sendsRefused[why])
	}
	f.writeHeader("client_connections_closed_total", "counter", "Clients' connections that have ended, by why.")
	for why, name := range closeReasonNames {
		fmt.Fprintf(&f, "app_client_connections_closed_total{reason=\"%s\"} %d\n", name, n.count.closings[why])
	}
	return control.Reply{Status: 200, Type: "text/plain; version=0.0.4; charset=utf-8", Body: []byte(f.String())}
}
