package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validGate = `
name: gate-a1
zone: a
region: r1
listen: 127.0.0.1:7000
admin: 127.0.0.1:7001
fleet_key_files: [KEY]
platform: {address: "http://127.0.0.1:6000"}
`

func load(t *testing.T, document string) error {
	t.Helper()
	directory := t.TempDir()
	key := filepath.Join(directory, "fleet.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("k", 40)), 0o600); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(directory, "gate.yaml")
	document = strings.ReplaceAll(document, "KEY", key)
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadGate(file)
	return err
}

// A daemon must not start with settings other than those the operator intended: each invalid field is reported by name.
func TestLoadReportsInvalidField(t *testing.T) {
	cases := []struct {
		name     string
		document string
		want     string
	}{
		{"valid", validGate, ""},
		{"unknown field", validGate + "lisen: x\n", "lisen"},
		{"missing unit", validGate + "timing: {lease: 3}\n", "not a duration with a unit"},
		{"lease not below suspicion", validGate + "timing: {lease: 3s}\n", "timing.lease"},
		{"host name", strings.Replace(validGate, "127.0.0.1:7000", "gate:7000", 1), "listen"},
		{"advertised host name", validGate + "advertise: gate:7000\n", "advertise"},
		{"no key file", strings.Replace(validGate, "KEY", "absent.key", 1), "fleet_key_files[0]"},
		{"incomplete tls", validGate + "tls: {key: KEY}\n", "tls.certificate"},
		{"source with a port", validGate + "source: 127.0.0.1:7000\n", "source"},
		{"invalid level", validGate + "log: {level: loud}\n", "log.level"},
		{"no platform", strings.Replace(validGate, "http://127.0.0.1:6000", "x", 1), "platform.address"},
		{"not YAML", "name: [", "settings"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := load(t, c.document)
			if c.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v does not name %q", err, c.want)
			}
		})
	}
}

// The settings decoder must not panic on arbitrary input.
func FuzzLoad(f *testing.F) {
	f.Add(validGate)
	f.Add("name: {a: [1, 2]}\n")
	f.Add("timing: {lease: -1s}\n")
	f.Fuzz(func(t *testing.T, document string) {
		_ = load(t, document)
	})
}
