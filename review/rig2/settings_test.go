//go:build review

package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFill(t *testing.T) {
	fields := map[string]any{
		"name": "n1", "on": true, "off": false, "ports": []int{7, 8}, "bounds": map[string]any{"x": 2},
		"zones": []entry{{"a", "one"}, {"b", "two"}},
	}
	tests := []struct {
		text, want string
	}{
		{text: "{{name}} {{ports.1}} {{bounds.x}} {{none}}", want: "n1 8 2 "},
		{text: "{{#on}}yes{{/on}}{{^on}}no{{/on}}", want: "yes"},
		{text: "{{#off}}yes{{/off}}{{^off}}no{{/off}}", want: "no"},
		{text: "{{#none}}a{{#on}}b{{/on}}{{/none}}c", want: "c"},
		{text: "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", want: "a:one,b:two"},
	}
	for _, tt := range tests {
		got, err := fill(tt.text, fields)
		assert.NilError(t, err)
		assert.Equal(t, got, tt.want)
	}
	_, err := fill("{{#on}}", fields)
	assert.Assert(t, err != nil)
}

// TestDeployFile checks that the rig finds what it needs in the deploy file, and that each script names a case.
func TestDeployFile(t *testing.T) {
	d, err := readDeploy("../../deploy/system.toml")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(d.run, " --settings /etc/buckthorntrack/node.toml"))
	assert.Equal(t, len(d.env), 2)
	for _, folder := range []string{"6", "7", "8", "9", "10"} {
		script, err := os.ReadFile("../" + folder + "/run.sh")
		assert.NilError(t, err)
		_, call, _ := strings.Cut(string(script), "exec target/review-rig2 ")
		words := strings.Fields(call)
		assert.Assert(t, len(words) == 2 && cases[words[0]] != nil && words[1] == "review/"+folder, "%s: %v", folder, words)
	}
}
