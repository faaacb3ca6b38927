package configurer

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const pagePath = "../../docs/SETTINGS.md"

// TestSettingsPage guards against a page of settings that differs from the
// code: docs/SETTINGS.md must match the doc comments of the settings.
// "go test ./pkg/configurer -update" regenerates the page.
func TestSettingsPage(t *testing.T) {
	page := "# Settings\n\nThis page is made from the comments of the code by `go test ./pkg/configurer -update`.\n"
	page += pageSection(t, "Settings of a process", "settings.go", "Settings")
	page += "\nDefaults: `log-level = \"info\"`, `leave-grace = \"30s\"`, `entry.retry-ratio = 0.1`, `entry.retry-burst = 10`, " +
		"`entry.max-body-bytes = 1048576`, `entry.cell = \"cell-1\"`, `entry.commit-interval = \"100ms\"`. " +
		"`bilberrywalk check-settings FILE` checks a file.\n"
	page += pageSection(t, "Settings of a process on a platform with a store", "fleet.go", "Fleet")
	page += "\nDefaults: `log-level = \"info\"`, `longest-lease = \"6s\"`, `restart-within = \"9s\"`, `grace = \"6s\"`. " +
		"`bilberrywalk fleet check --settings FILE` checks a file; SIGHUP puts a new `log-level` in force.\n"
	page += pageSection(t, "Service documents", "../publisher/document.go", "Document")
	page += "\n`bilberrywalk check-settings --document FILE` checks a document.\n"
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(pagePath, []byte(page), 0o644))
	}
	have, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Equal(t, string(have), page)
}

// pageSection returns a section of the page with a table row for each key of the
// struct root in file and of its nested structs.
func pageSection(t *testing.T, title, file, root string) string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	assert.NilError(t, err)
	structs := map[string]*ast.StructType{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		if spec, ok := n.(*ast.TypeSpec); ok {
			if s, ok := spec.Type.(*ast.StructType); ok {
				structs[spec.Name.Name] = s
			}
		}
		return true
	})
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n| key | meaning |\n| --- | --- |\n", title)
	appendRows(&b, structs, root, "")
	return b.String()
}

// appendRows adds a table row for each key of a struct and of its nested structs.
func appendRows(b *strings.Builder, structs map[string]*ast.StructType, name, prefix string) {
	for _, f := range structs[name].Fields.List {
		tag, err := strconv.Unquote(f.Tag.Value)
		if err != nil {
			continue
		}
		key := prefix + reflect.StructTag(tag).Get("toml")
		fmt.Fprintf(b, "| `%s` | %s |\n", key, strings.ReplaceAll(strings.TrimSpace(f.Doc.Text()), "\n", " "))
		inner, repeated := f.Type, ""
		if array, ok := inner.(*ast.ArrayType); ok {
			inner, repeated = array.Elt, "[]"
		}
		if ident, ok := inner.(*ast.Ident); ok && structs[ident.Name] != nil {
			appendRows(b, structs, ident.Name, key+repeated+".")
		}
	}
}

func TestParseErrorNamesField(t *testing.T) {
	good := "address = \"127.0.0.1:7101\"\nfailure-domain = \"quito-norte\"\n"
	cases := map[string]struct{ text, field string }{
		"no address":             {`failure-domain = "quito-norte"`, "address"},
		"a host name":            {strings.Replace(good, "127.0.0.1", "localhost", 1), "address"},
		"no domain":              {`address = "127.0.0.1:7101"`, "failure-domain"},
		"bad join":               {good + `join = ["127.0.0.1"]`, "join[0]"},
		"bad level":              {good + `log-level = "loud"`, "log-level"},
		"bad grace":              {good + `leave-grace = "2h"`, "leave-grace"},
		"bad ratio":              {good + "[entry]\nretry-ratio = 2.0", "entry.retry-ratio"},
		"bad body":               {good + "[entry]\nmax-body-bytes = 0", "entry.max-body-bytes"},
		"bad interval":           {good + "[entry]\ncommit-interval = \"1ms\"", "entry.commit-interval"},
		"agent without endpoint": {good + "[agent]\nservice = \"reader\"", "agent.endpoint"},
		"unknown key":            {good + "colour = 1", "colour"},
		"a wrong type":           {good + "[entry]\nretry-burst = \"x\"", "entry.retry-burst"},
		"not a number":           {good + "[entry]\nretry-ratio = nan", "entry.retry-ratio"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var field *publisher.FieldError
			assert.Assert(t, errors.As(err, &field), "got %v", err)
			assert.Equal(t, field.Field, c.field)
		})
	}
	t.Run("the example files are valid", func(t *testing.T) {
		for _, name := range []string{"entry-1", "agent-central-polls-1"} {
			_, err := Read("../../examples/" + name + ".toml")
			assert.NilError(t, err)
		}
	})
}

func TestParseFleetErrorNamesField(t *testing.T) {
	good := "name = \"front-1\"\nlink = \"10.0.0.1:7700\"\nstore = \"10.0.0.9:8169\"\n"
	cases := map[string]struct{ text, field string }{
		"no link":        {`store = "10.0.0.9:8169"`, "link"},
		"no store":       {`link = "10.0.0.1:7700"`, "store"},
		"a host name":    {good + `callers = "front:80"`, "callers"},
		"a short lease":  {good + `longest-lease = "1ms"`, "longest-lease"},
		"no processors":  {good + `processors = -1.5`, "processors"},
		"a long grace":   {good + `grace = "2h"`, "grace"},
		"a wrong level":  {good + `log-level = "loud"`, "log-level"},
		"an unknown key": {good + `colour = 1`, "colour"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseFleet([]byte(c.text))
			var field *publisher.FieldError
			assert.Assert(t, errors.As(err, &field), "got %v", err)
			assert.Equal(t, field.Field, c.field)
		})
	}
	t.Run("each process requires its own settings", func(t *testing.T) {
		cfg, err := ParseFleet([]byte(good))
		assert.NilError(t, err)
		var field *publisher.FieldError
		assert.Assert(t, errors.As(cfg.CheckEntry(), &field))
		assert.Equal(t, field.Field, "callers")
		assert.Assert(t, errors.As(cfg.CheckAgent(), &field))
		assert.Equal(t, field.Field, "registry")
	})
}
