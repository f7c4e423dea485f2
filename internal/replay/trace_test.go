package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testDeployment = `{"name":"d","zones":["z1","z2"],"customers":[{"name":"c","key":"k","weight":1,"system":"be brief"}],` +
	`"pools":[{"name":"m","kind":"model","load_multiple":1.25,` +
	`"engine":{"slots":4,"token_ms":1,"prefill_ms":0.01,"cache_blocks":100},"targets":[{"name":"e1","zone":"z1"},{"name":"e2","zone":"z2"}]},` +
	`{"name":"s","kind":"service","run_time_ms":1,"non_repeatable":[{"method":"POST","path":"/orders"}],"targets":[{"name":"s1","zone":"z1"}]}]}` + "\n"

// Guards against bad input that is accepted, or refused without the line and the field.
func TestReadNamesLineAndField(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"empty", "", "line 1: the deployment is missing"},
		{"not JSON", "x\n", "line 1"},
		{"unknown field", testDeployment + `{"at_ms":1,"kind":"chat","colour":1}`, `line 2: json: unknown field "colour"`},
		{"unknown kind", testDeployment + `{"at_ms":1,"kind":"song"}`, `line 2: kind: "song"`},
		{"unknown pool", testDeployment + `{"at_ms":1,"kind":"chat","pool":"x"}`, `pool: "x"`},
		{"chat to a service", testDeployment + `{"at_ms":1,"kind":"chat","pool":"s"}`, `pool: "s" does not take a chat`},
		{"unknown customer", testDeployment + `{"at_ms":1,"kind":"call","pool":"s","customer":"x"}`, `customer: "x"`},
		{"unknown zone", testDeployment + `{"at_ms":1,"kind":"call","pool":"s","customer":"c","zone":"x"}`, `zone: "x"`},
		{"unknown target", testDeployment + `{"at_ms":1,"kind":"fault","fault":"target_crash","target":"x"}`, `target: "x"`},
		{"unknown fault", testDeployment + `{"at_ms":1,"kind":"fault","fault":"x"}`, `fault: "x"`},
		{
			"out of order",
			testDeployment + `{"at_ms":2,"kind":"fault","fault":"platform_down"}` + "\n" + `{"at_ms":1,"kind":"fault","fault":"platform_down"}`,
			"line 3: at_ms",
		},
		{"no engine", strings.Replace(testDeployment, `"slots":4`, `"slots":0`, 1), "engine: slots"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Read(strings.NewReader(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want one with %q", err, test.want)
			}
		})
	}
}

// Guards against a generator whose traces differ between runs, against committed traces that no longer
// are what the generator makes, and against traces over 1 MB.
func TestCommittedTraces(t *testing.T) {
	for _, name := range Deployments() {
		generated, err := Generate(name, 1)
		if err != nil {
			t.Fatal(err)
		}
		var text bytes.Buffer
		if err := generated.Write(&text); err != nil {
			t.Fatal(err)
		}
		committed, err := os.ReadFile(filepath.Join("..", "..", "traces", name+".jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(committed, text.Bytes()) || len(committed) > 1<<20 {
			t.Errorf("%s: the committed trace of %d bytes differs from the generated one of %d bytes", name, len(committed), text.Len())
		}
		if _, err := Read(&text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if other, _ := Generate(name, 2); len(other.Events) > 0 && other.Events[0] == generated.Events[0] {
			t.Errorf("%s: seeds 1 and 2 give the same first event", name)
		}
	}
}

func parse(t *testing.T, events ...string) *Trace {
	t.Helper()
	parsed, err := Read(strings.NewReader(testDeployment + strings.Join(events, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// Guards against turns that do not repeat the chat's messages and answers: the engines' caches would then
// never be of use, and reuse figures would mean nothing.
func TestTurnsRepeatTheChat(t *testing.T) {
	parsed := parse(t,
		`{"at_ms":0,"kind":"chat","customer":"c","chat":"x","turn":0,"zone":"z1","pool":"m","prompt":"one","output":3}`,
		`{"at_ms":1,"kind":"chat","customer":"c","chat":"y","turn":0,"zone":"z1","pool":"m","prompt":"other","output":3}`,
		`{"at_ms":2,"kind":"chat","customer":"c","chat":"x","turn":1,"zone":"z1","pool":"m","prompt":"two","output":3}`)
	turns, _ := parsed.turns()
	first, second := turns[0], turns[2]
	if first.next != second || second.first || !turns[1].first {
		t.Fatal("turns are not linked by chat")
	}
	var roles []string
	for _, message := range second.completion.Messages {
		roles = append(roles, message.Role)
	}
	if strings.Join(roles, " ") != "system user assistant user" || second.completion.Messages[2].Content != first.answer() {
		t.Errorf("messages %+v, want the answer %q as the third", second.completion.Messages, first.answer())
	}
}
