package simhost

import (
	"bytes"
	"errors"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapisshelf/policy"
)

const (
	startBatch = `{"kind":"Batch","SimTime":1000,"frame":1}
{"kind":"Configure","I":"node_0","Prng":7,"Settings":{"Balancers":1,"Tick":5000000,"FamilyInfo":{"Mode":"aside"},"Unheard":{"of":1},` +
		`"Classes":[{"Name":"read","Aim":400000000,"Deadline":900000000,"Effect":"retryable","Worth":1}],` +
		`"Limits":{"SendCap":3,"ParallelTries":true}}}
{"kind":"Census","Page":3,"Entries":[{"Server":"10.0.0.1:80","Az":"a","Lifecycle":"in_service","Scale":1}]}
{"kind":"RosterChange","I":"node_0","How":"Persisted","SeqNo":1,"Page":3}
{"kind":"Eob"}
`
	requestBatch = `{"kind":"Batch","SimTime":2000,"frame":2}
{"kind":"Order","I":"node_0","Handle":"c:1","Grade":"read","Resource":12,"Grace":800000000,"New":true}
{"kind":"Eob"}
`
)

func TestReplies(t *testing.T) {
	var out bytes.Buffer
	if err := Run(strings.NewReader(startBatch+requestBatch), &out); err != nil {
		t.Fatal(err)
	}
	want := `{"kind":"Next","frame":1}
{"kind":"WakeAt","I":"node_0","Span":10000000,"Ref":"sweep"}
{"kind":"Place","I":"node_0","Handle":"c:1","Server":"10.0.0.1:80","MaxWait":400000000}
{"kind":"Next","frame":2}
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}

// Probes are sent only where the settings allow them and load reports come with probes. Their results are decoded.
func TestProbes(t *testing.T) {
	for _, c := range []struct {
		name, settings string
		probes         bool
	}{
		{"allowed", `"Limits":{"Probes":true,`, true},
		{"not allowed", `"Limits":{`, false},
	} {
		in := strings.Replace(startBatch, `"Limits":{`, `"Feedback":{"How":"on_probe","Fields":["depth","tps"]},`+c.settings, 1)
		in = strings.Replace(in, `"Scale":1}]`, `"Scale":1},{"Server":"10.0.0.2:80","Lifecycle":"in_service"}]`, 1)
		in = strings.Replace(in, `"Tick"`, `"Guarantees":{"OverloadFor":2000000000},"Tick"`, 1) + requestBatch +
			`{"kind":"Batch","SimTime":300002000,"frame":3}
{"kind":"ClosedAttempt","I":"node_0","Handle":"c:1","Server":"10.0.0.1:80","Ending":100,"Settled":true,"Took":300000000}
{"kind":"Order","I":"node_0","Handle":"c:2","Grade":"read","Resource":12,"Grace":800000000}
{"kind":"Eob"}
{"kind":"Batch","SimTime":301002000,"frame":4}
{"kind":"ProbeResult","I":"node_0","Server":"10.0.0.1:80","Ending":100,"Pressure":{"depth":0,"tps":12.5}}
{"kind":"ProbeResult","I":"node_0","Server":"10.0.0.2:80","Ending":100,"Pressure":{"depth":0,"tps":12.5}}
{"kind":"Eob"}
`
		var out bytes.Buffer
		if err := Run(strings.NewReader(in), &out); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if n := strings.Count(out.String(), `{"kind":"Ping","I":"node_0","Server":"10.0.0.`); n > 0 != c.probes {
			t.Errorf("%s: %d probes:\n%s", c.name, n, out.String())
		}
		if n := strings.Count(out.String(), `"Handle":"c:2","Server"`); n != 1 {
			t.Errorf("%s: c:2 sent %d times, want once", c.name, n)
		}
	}
}

// An Aborted event means that the client has disconnected or cancelled. A request that waits is then never sent to a server, and
// one that was sent is not retried, whether or not the settings allow cancelling attempts.
func TestAborted(t *testing.T) {
	for _, cancel := range []string{"", `"Cancel":true,`} {
		for _, gone := range []bool{false, true} {
			in := strings.Replace(startBatch, `"Limits":{`, `"Limits":{`+cancel, 1) + requestBatch +
				`{"kind":"Batch","SimTime":3000,"frame":3}
{"kind":"Order","I":"node_0","Handle":"c:2","Grade":"read","Resource":12,"Grace":800000000}
{"kind":"Eob"}
{"kind":"Batch","SimTime":4000,"frame":4}
`
			if gone {
				in += `{"kind":"Aborted","I":"node_0","Handle":"c:1"}
{"kind":"Aborted","I":"node_0","Handle":"c:2"}
`
			}
			in += `{"kind":"Eob"}
{"kind":"Batch","SimTime":5002000,"frame":5}
{"kind":"ClosedAttempt","I":"node_0","Handle":"c:1","Server":"10.0.0.1:80","Ending":304,"Took":5000000}
{"kind":"Ring","I":"node_0","Ref":"sweep"}
{"kind":"Eob"}
`
			var out bytes.Buffer
			if err := Run(strings.NewReader(in), &out); err != nil {
				t.Fatal(err)
			}
			want := 2 // c:1, and then c:2 when the attempt of c:1 has ended
			if gone {
				want = 1
			}
			if got := strings.Count(out.String(), `"kind":"Place"`); got != want {
				t.Errorf("gone %t: %d placed, want %d:\n%s", gone, got, want, out.String())
			}
		}
	}
}

var malformed = []struct{ name, input, want string }{
	{"not JSON", "{\"kind\":\"Batch\",\"SimTime\":2,\"frame\":5}\nhello\n", "batch 5, line 2: not a message"},
	{"no batch", `{"kind":"Eob"}` + "\n", `"Eob" where a batch should open`},
	{"ends inside", "{\"kind\":\"Batch\",\"SimTime\":2,\"frame\":5}\n", "batch 5, line 2: input ends inside the batch"},
	{"unknown event", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Sing\",\"I\":\"node_0\"}\n",
		"batch 5, line 2: Sing: unknown event"},
	{"no instance", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Ring\"}\n", "batch 5, line 2: Ring: names no instance"},
	{"not started", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Ring\",\"I\":\"node_9\"}\n{\"kind\":\"Eob\"}\n",
		`batch 5, event 1: event for instance "node_9", which has not started`},
	{"unknown list", startBatch + "{\"kind\":\"Batch\",\"frame\":5}\n" +
		"{\"kind\":\"RosterChange\",\"I\":\"node_0\",\"How\":\"Complete\",\"Page\":4}\n", "list 4 was never sent"},
	{"unknown outcome", startBatch + "{\"kind\":\"Batch\",\"frame\":5}\n" +
		"{\"kind\":\"ClosedAttempt\",\"I\":\"node_0\",\"Ending\":999}\n", "unknown outcome 999"},
	{"negative weight", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Census\",\"Page\":0,\"Entries\":" +
		"[{\"Server\":\"a\",\"Lifecycle\":\"in_service\",\"Scale\":-2}]}\n", "negative weight -2"},
	{"endless weight", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Census\",\"Page\":0,\"Entries\":" +
		"[{\"Server\":\"a\",\"Lifecycle\":\"in_service\",\"Scale\":1e999}]}\n", "not a message"},
	{"no classes", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Configure\",\"I\":\"node_0\",\"Settings\":{}}\n",
		"no request class"},
	{"negative aim", "{\"kind\":\"Batch\",\"frame\":5}\n{\"kind\":\"Configure\",\"I\":\"node_0\",\"Settings\":" +
		"{\"Classes\":[{\"Name\":\"x\",\"Aim\":-1,\"Deadline\":1,\"Effect\":\"retryable\"}]}}\n",
		"times must be positive"},
}

func TestMalformedInputIsAPlainErrorWithoutReply(t *testing.T) {
	for _, c := range malformed {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := Run(strings.NewReader(c.input), &out)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one with %q", err, c.want)
			}
			if strings.Contains(out.String(), `"frame":5`) {
				t.Errorf("the malformed batch got a reply: %s", out.String())
			}
		})
	}
}

// panickingBalancer panics at its first timer event.
type panickingBalancer struct{ balancer }

func (panickingBalancer) Members(time.Duration, policy.ListKind, []policy.Server) {}
func (panickingBalancer) Timer(time.Duration, string)                             { panic("planted") }

func TestAPanicIsTheInstancesOwnCrash(t *testing.T) {
	var out bytes.Buffer
	input := startBatch + "{\"kind\":\"Batch\",\"SimTime\":3000,\"frame\":3}\n" +
		"{\"kind\":\"Ring\",\"I\":\"node_0\",\"Ref\":\"sweep\"}\n{\"kind\":\"Eob\"}\n"
	original := newBalancer
	defer func() { newBalancer = original }()
	newBalancer = func(time.Duration, policy.Settings, uint64, policy.Actions) balancer { return panickingBalancer{} }
	if err := Run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `{"kind":"Exception","I":"node_0","NoteText":"the decision module failed: planted"}`) {
		t.Errorf("no crash reported: %s", out.String())
	}
	if !strings.HasSuffix(out.String(), "{\"kind\":\"Next\",\"frame\":3}\n") {
		t.Errorf("the reply has no end: %s", out.String())
	}
}

func TestSimhostCommand(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "simhost")
	if text, err := exec.Command("go", "build", "-o", bin, "lapisshelf/cmd/simhost").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, text)
	}
	run := func(input string) (string, string, int) {
		var out, stderr bytes.Buffer
		cmd := exec.Command(bin)
		cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(input), &out, &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		return out.String(), stderr.String(), cmd.ProcessState.ExitCode()
	}
	if out, stderr, code := run(startBatch + requestBatch); code != 0 || stderr != "" || strings.Count(out, "Next") != 2 {
		t.Errorf("valid input: exit status %d, output %q, stderr %q", code, out, stderr)
	}
	for _, c := range malformed {
		_, stderr, code := run(c.input)
		if code != 1 || !strings.Contains(stderr, c.want) || strings.Count(stderr, "\n") != 1 {
			t.Errorf("%s: exit status %d, stderr %q; want 1 and one line with %q", c.name, code, stderr, c.want)
		}
	}
}
