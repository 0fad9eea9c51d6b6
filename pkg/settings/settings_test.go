package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"gopkg.in/yaml.v3"

	"mangokeel/pkg/settings"
)

const service = `address: 127.0.0.1:80
protocol: http
zones: [a, b]
slots: 2
wait: 2s
rules:
  - {prefix: /feed, class: urgent}
`

// Guards against an operator who has to guess which line of a file is wrong, and
// against a process that starts with half of its settings.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ old, new, want string }{
		{"slots: 2", "slot: 2", "f.yaml:4: slot: unknown key; known are address, .*"},
		{"slots: 2", "slots: two", `f.yaml:4: slots: "two" is not a whole number`},
		{"slots: 2", "slots: 2000000", "f.yaml:4: slots: 2000000 is not between 0 and 4096"},
		{"slots: 2", "slots: -1", "f.yaml:4: slots: -1 is not between .*"},
		{"slots: 2", "slots: 2\nslots: 3", "f.yaml:5: slots: occurs twice"},
		{"wait: 2s", "wait: 2", `f.yaml:5: wait: "2" is not a duration with its unit such as 500ms or 8h`},
		{"wait: 2s", "wait: 2h", "f.yaml:5: wait: 2h0m0s is not between 0s and 10m0s"},
		{"127.0.0.1:80", "127.0.0.1", `f.yaml:1: address: "127.0.0.1" is not an address and port such as 192.0.2.1:443`},
		{"127.0.0.1:80", "127.0.0.1:0", "f.yaml:1: address: 127.0.0.1:0 has no port"},
		{"address: 127.0.0.1:80\n", "", "f.yaml: address: missing"},
		{"protocol: http", "protocol: tcp", `f.yaml:2: protocol: "tcp" is not http or udp`},
		{"[a, b]", "[a, a]", `f.yaml:3: zones\[1\]: "a" occurs twice`},
		{"[a, b]", "a", "f.yaml:3: zones: must be a list"},
		{"class: urgent", "class: fast", `f.yaml:7: rules\[0\].class: "fast" is not urgent, normal or bulk`},
		{"class: urgent", "clas: urgent", `f.yaml:7: rules\[0\].clas: unknown key; known are .*`},
		// The YAML library gives the line on which the broken construct begins.
		{"zones:", "\tzones:", "f.yaml:2: found a tab character that violates indentation"},
		{service, "", "f.yaml: the document is empty"},
		{service, service + "---\nslots: 1\n", "f.yaml: there is more than one document"},
	} {
		file := filepath.Join(t.TempDir(), "f.yaml")
		c.Assert(os.WriteFile(file, []byte(strings.Replace(service, x.old, x.new, 1)), 0o600), qt.IsNil)
		var s settings.Service
		err := settings.Load(file, &s)
		c.Assert(err, qt.ErrorMatches, ".*"+x.want, qt.Commentf("%s", x.new))
		c.Assert(s.Protocol, qt.Equals, "")
	}
}

// Guards against examples that no longer load.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	root := filepath.Join("..", "..", "examples")
	c.Assert(settings.Load(filepath.Join(root, "control.yaml"), &settings.Control{}), qt.IsNil)
	c.Assert(settings.Load(filepath.Join(root, "balancer.yaml"), &settings.Balancer{}), qt.IsNil)
	for _, user := range []string{"sieste", "cnoc"} {
		c.Assert(settings.Load(filepath.Join(root, user, "agent.yaml"), &settings.Agent{}), qt.IsNil)
		b, err := os.ReadFile(filepath.Join(root, user, "services.yaml"))
		c.Assert(err, qt.IsNil)
		var documents map[string]yaml.Node
		c.Assert(yaml.Unmarshal(b, &documents), qt.IsNil)
		c.Assert(documents, qt.HasLen, 2)
		for path, n := range documents {
			doc, err := yaml.Marshal(&n)
			c.Assert(err, qt.IsNil)
			c.Assert(settings.Parse(doc, &settings.Service{}), qt.IsNil, qt.Commentf(path))
		}
	}
}

// Guards against documents that crash the parser, and against errors that name
// nothing. What parses must parse again after it was written.
func FuzzParse(f *testing.F) {
	f.Add([]byte(service))
	f.Add([]byte("a: &a [*a]\n"))
	f.Add([]byte("address: {x: y}\nrules: [{}, ~]\n"))
	f.Add([]byte("zones: &z [a]\n<<: *z\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s settings.Service
		err := settings.Parse(b, &s)
		var e *settings.Error
		switch {
		case err != nil && !errors.As(err, &e):
			t.Fatalf("not an *Error: %v", err)
		case err != nil && e.Reason == "":
			t.Fatal("no reason")
		case err != nil:
			return
		}
		out, err := yaml.Marshal(&s)
		if err != nil {
			t.Fatal(err)
		}
		var again settings.Service
		if err := settings.Parse(out, &again); err != nil {
			t.Fatalf("%v in\n%s", err, out)
		}
	})
}
