package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const validBase = `[service guide-llm]
kind = model
[service booking]
kind = plain
[place grand-baie]
region = nord
[engine guide-1]
service = guide-llm
place = grand-baie
address = 10.0.0.1:80
`

func TestBuildListsEveryProblem(t *testing.T) {
	tests := []struct {
		name  string
		files []File
		want  []string
	}{
		{"clean", []File{{"10.ini", validBase}}, nil},
		{
			"unknown section", []File{{"10.ini", validBase + "[pond x]\n"}},
			[]string{`10.ini:11: unknown kind of section "pond"`},
		},
		{
			"unknown key", []File{{"10.ini", validBase + "color = red\n"}},
			[]string{"10.ini:11: color: unknown key in [engine guide-1]"},
		},
		{
			"invalid values",
			[]File{{
				"10.ini",
				validBase + "drain = perhaps\nrole = chef\n[class x]\npriority = -1\ndeadline = soon\n",
			}},
			[]string{
				`10.ini:11: drain: value "perhaps" is not true or false`,
				`10.ini:12: role: value "chef" is not one of mixed|prefill|decode`,
				`10.ini:14: priority: value "-1" is not a non-negative integer`,
				`10.ini:15: deadline: value "soon" is not a duration such as 250ms`,
			},
		},
		{
			"dangling references",
			[]File{{"10.ini", validBase + "[engine guide-2]\nservice = nobody\nplace = nowhere\naddress = host:80\n"}},
			[]string{
				`10.ini:12: service: service "nobody" does not exist`,
				`10.ini:13: place: place "nowhere" does not exist`,
				`10.ini:14: address: value "host:80" is not an IP number with a port`,
			},
		},
		{
			"section that a later file overrides partially",
			[]File{{"10.ini", validBase + "role = decode\n"}, {"20.ini", "[engine guide-1]\nservice = booking\n"}},
			[]string{"10.ini:11: role: an upstream of a plain service has no role (kind of [service booking] is set at 10.ini:4)"},
		},
		{
			"required key is missing", []File{{"10.ini", "[place x]\n"}},
			[]string{"10.ini:1: region: required key is missing"},
		},
		{
			"malformed lines, duplicate key, duplicate section",
			[]File{{"10.ini", "lost = 1\n[place x]\nregion = a\nregion = b\nnonsense\n[place x]\n[broken\n"}},
			[]string{
				"10.ini:1: lost: key is not in any section",
				"10.ini:4: region: key is defined twice in this section, first at line 3",
				`10.ini:5: line "nonsense" is neither a section header nor a key = value pair`,
				"10.ini:6: section [place x] is defined twice in this file, first at line 2",
				"10.ini:7: section header has no closing bracket",
			},
		},
		{
			"duplicate token", []File{{"10.ini", "[tenant a]\ntoken = t\n[tenant b]\ntoken = t\n"}},
			[]string{`10.ini:4: token: token is already used by tenant "a"`},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := Build(1, tt.files)
			if tt.want == nil {
				assert.NilError(t, err)
				return
			}
			problems, ok := AsProblems(err)
			assert.Assert(t, ok, "%v", err)
			assert.DeepEqual(t, strings.Split(problems.Error(), "\n"), tt.want)
		})
	}
}

func TestLaterFileOverridesKeyByKey(t *testing.T) {
	c, sections, err := Build(1, []File{
		{"10.ini", validBase},
		{"20.ini", "[engine guide-1]\naddress = 10.0.0.2:80\n[service booking]\nremoved = true\n"},
	})
	assert.NilError(t, err)
	assert.Equal(t, c.Engines["guide-1"].Address, "10.0.0.2:80")
	assert.Equal(t, string(c.Engines["guide-1"].Place), "grand-baie")
	assert.Equal(t, len(c.Services), 1)
	for _, s := range sections {
		if s.Title() == "engine guide-1" {
			assert.Equal(t, s.Values["address"].Position, Position{File: "20.ini", Line: 2})
			assert.Equal(t, s.Values["place"].Position, Position{File: "10.ini", Line: 9})
		}
	}
}

func TestSettingsProblemsNameFileLineAndKey(t *testing.T) {
	_, err := ParseSettings(File{
		Name: "p.ini",
		Text: "[process]\nname = a\nplace = z\nlisten = nowhere\n[peers]\nlisten = 127.0.0.1:1\nkey = k\ntimeout = 5\n[other]\n",
	})
	problems, ok := AsProblems(err)
	assert.Assert(t, ok)
	assert.DeepEqual(t, strings.Split(problems.Error(), "\n"), []string{
		"p.ini:1: address: required key is missing",
		`p.ini:4: listen: value "nowhere" is not an IP number with a port`,
		`p.ini:8: timeout: value "5" is not a duration such as 250ms`,
		"p.ini:9: unknown section [other]",
	})
}

func FuzzBuild(f *testing.F) {
	f.Add(validBase)
	f.Add("[a]\n=\n[[\nx = `\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _, _ = Build(1, []File{{Name: "10.ini", Text: text}, {Name: "20.ini", Text: validBase}})
	})
}

// TestSettingsAreReadWhileTheyAreRewritten guards against a process that fails because it reads a file that another
// program has truncated and not written yet.
func TestSettingsAreReadWhileTheyAreRewritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "process.ini")
	text := "[process]\nname = n\nplace = a\nlisten = 127.0.0.1:1\n[platform]\naddress = http://127.0.0.1:2\n" +
		"[peers]\nlisten = 127.0.0.1:3\nkey = k\n"
	synctest.Test(t, func(t *testing.T) {
		assert.NilError(t, os.WriteFile(path, nil, 0o600))
		written := make(chan error, 1)
		go func() {
			time.Sleep(maxRewriteTime / 10)
			written <- os.WriteFile(path, []byte(text), 0o600)
		}()
		settings, err := ReadSettings(path)
		assert.NilError(t, err)
		assert.Equal(t, string(settings.Process.Name), "n")
		assert.NilError(t, <-written)
	})
}
