package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntrack/buckthorntrack/config"
	"github.com/buckthorntrack/buckthorntrack/units"
)

const services = "[service llm]\nkind = model\n[service desk]\nkind = plain\n"

func TestLongestRouteWins(t *testing.T) {
	cfg, _, err := config.Build(1, []config.File{{Name: "a.ini", Text: services + `
[route all]
host = Shop.example
path = /
services = desk
[route chat]
host = shop.example
path = /chat/
services = llm:90, desk:10
kind = stream
resumable = true
`}})
	assert.NilError(t, err)
	tests := []struct {
		host, path, want string
	}{
		{host: "shop.example", path: "/chat/x", want: "chat"},
		{host: "SHOP.example", path: "/chat/", want: "chat"},
		{host: "shop.example", path: "/chat", want: "all"},
		{host: "other.example", path: "/chat/x", want: ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			route := cfg.RouteFor(tt.host, tt.path)
			if tt.want == "" {
				assert.Assert(t, route == nil)
				return
			}
			assert.Equal(t, route.Name, tt.want)
		})
	}
	chat := cfg.RouteFor("shop.example", "/chat/x")
	assert.Assert(t, chat.Repeatable())
	assert.Equal(t, chat.SelectService(0.5), units.ServiceName("llm"))
	assert.Equal(t, chat.SelectService(0.95), units.ServiceName("desk"))
	assert.Assert(t, !cfg.RouteFor("shop.example", "/x").Repeatable())
}

func TestInvalidRoutesAreRejected(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{name: "path", text: "host = h\npath = chat\nservices = llm", want: "begin and end with a slash"},
		{name: "service", text: "host = h\npath = /\nservices = nobody", want: `service "nobody" is not configured`},
		{name: "weight", text: "host = h\npath = /\nservices = llm:x", want: "not a non-negative integer"},
		{name: "kind", text: "host = h\npath = /\nservices = llm\nkind = odd", want: "odd"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, _, err := config.Build(1, []config.File{{Name: "a.ini", Text: services + "[route r]\n" + tt.text + "\n"}})
			assert.Assert(t, err != nil && strings.Contains(err.Error(), tt.want), "%v", err)
		})
	}
}
