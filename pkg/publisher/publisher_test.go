package publisher_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
	"github.com/bilberrywalk/bilberrywalk/pkg/storer"
)

const validDocument = `service = "reader"
team = "lisciva"
[endpoint]
slots = 8
connections = 64
[[kind]]
name = "check"
urgency = 9
deadline = "2s"
run-time = "20ms"
idempotent = true
floor = 0.5
ceiling = 1.0
lend-limit = "100ms"
max-queued = 100
`

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestParseErrorNamesTheField(t *testing.T) {
	_, kind, _ := strings.Cut(validDocument, "[[kind]]")
	cases := map[string]struct{ from, to, field string }{
		"name":            {`service = "reader"`, `service = "Reader!"`, "service"},
		"slots":           {"slots = 8", "slots = 0", "endpoint.slots"},
		"connections":     {"connections = 64", "connections = 4", "endpoint.connections"},
		"urgency":         {"urgency = 9", "urgency = 10", "kind[0].urgency"},
		"deadline":        {`deadline = "2s"`, `deadline = "0s"`, "kind[0].deadline"},
		"run time":        {`run-time = "20ms"`, `run-time = "3s"`, "kind[0].run-time"},
		"floor":           {"floor = 0.5", "floor = 1.5", "kind[0].floor"},
		"ceiling":         {"ceiling = 1.0", "ceiling = 0.1", "kind[0].ceiling"},
		"queue":           {"max-queued = 100", "max-queued = 0", "kind[0].max-queued"},
		"unknown key":     {"slots = 8", "slots = 8\nslotz = 9", "endpoint.slotz"},
		"wrong type":      {"slots = 8", `slots = "many"`, "endpoint.slots"},
		"no kinds":        {"[[kind]]" + kind, "", "kind (count)"},
		"same kind twice": {"[[kind]]", "[[kind]]" + strings.ReplaceAll(kind, "0.5", "0.1") + "[[kind]]", "kind[1].name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := publisher.Parse(strings.Replace(validDocument, c.from, c.to, 1))
			var field *publisher.FieldError
			assert.Assert(t, errors.As(err, &field), "got %v", err)
			assert.Equal(t, field.Field, c.field)
			assert.Assert(t, field.Allowed != "")
		})
	}
	t.Run("valid document", func(t *testing.T) {
		_, err := publisher.Parse(validDocument)
		assert.NilError(t, err)
	})
}

func edit(base uint64, who string) publisher.Edit {
	return publisher.Edit{
		Service: "reader",
		Base:    base,
		Text:    validDocument + "# by " + who + "\n",
		Who:     who,
	}
}

func TestOneOfSeveralConcurrentEditsIsAccepted(t *testing.T) {
	platform := emulator.NewPlatform()
	editor := publisher.NewEditor(platform.Table())
	_, err := editor.Apply(t.Context(), now, edit(0, "first"))
	assert.NilError(t, err)
	results := make([]error, 8)
	var group errgroup.Group
	for i := range results {
		group.Go(func() error {
			_, results[i] = editor.Apply(t.Context(), now, edit(1, string(rune('a'+i))))
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	accepted := 0
	for _, err := range results {
		var stale *publisher.StaleEditError
		switch {
		case err == nil:
			accepted++
		case errors.As(err, &stale):
			assert.Equal(t, stale.Current.Version, uint64(2))
			assert.Assert(t, strings.Contains(stale.Current.Text, "# by "))
		default:
			t.Fatal(err)
		}
	}
	assert.Equal(t, accepted, 1)
	trail, err := editor.Audit(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(trail), 2)
}

func TestEditWithLostReply(t *testing.T) {
	t.Run("is retried and applied once", func(t *testing.T) {
		platform := emulator.NewPlatform()
		editor := publisher.NewEditor(platform.Table())
		platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 3})
		doc, err := editor.Apply(t.Context(), now, edit(0, "one"))
		assert.NilError(t, err)
		assert.Equal(t, doc.Version, uint64(1))
		history, err := editor.History(t.Context(), "reader")
		assert.NilError(t, err)
		assert.Equal(t, len(history), 1)
	})
	t.Run("is reported as possibly applied after the timeout", func(t *testing.T) {
		platform := emulator.NewPlatform()
		editor := publisher.NewEditor(platform.Table())
		platform.SetFaults(emulator.PlatformFaults{LoseAnswers: 1_000_000})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := editor.Apply(ctx, now, edit(0, "one"))
		var unavailable *storer.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Assert(t, unavailable.MayHaveTakenEffect)
	})
	t.Run("is reported as not applied during an outage", func(t *testing.T) {
		platform := emulator.NewPlatform()
		editor := publisher.NewEditor(platform.Table())
		platform.SetFaults(emulator.PlatformFaults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := editor.Apply(ctx, now, edit(0, "one"))
		var unavailable *storer.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Assert(t, !unavailable.MayHaveTakenEffect)
	})
}

func TestChangedSinceReturnsEveryChange(t *testing.T) {
	platform := emulator.NewPlatform()
	editor := publisher.NewEditor(platform.Table())
	for base := range uint64(3) {
		_, err := editor.Apply(t.Context(), now, edit(base, "one"))
		assert.NilError(t, err)
	}
	documents, cursor, err := editor.ChangedSince(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, cursor, uint64(3))
	assert.Equal(t, len(documents), 1)
	assert.Equal(t, documents[0].Version, uint64(3))
	documents, _, err = editor.ChangedSince(t.Context(), cursor)
	assert.NilError(t, err)
	assert.Equal(t, len(documents), 0)
}

func TestDocumentCacheKeepsTheNewestVersion(t *testing.T) {
	violations := 0
	cache := publisher.NewDocumentCache(asserter.New(func(string, ...any) { violations++ }))
	put := func(version uint64, text string) bool {
		newer, err := cache.Put(framer.Document{
			Service: "reader",
			Version: version,
			Text:    text,
		})
		assert.NilError(t, err)
		return newer
	}
	assert.Assert(t, put(2, validDocument))
	assert.Assert(t, !put(1, validDocument))
	assert.Assert(t, !put(2, validDocument))
	doc, _ := cache.Get("reader")
	assert.Equal(t, doc.Version, uint64(2))
	before := cache.Digest()
	assert.Assert(t, put(3, validDocument))
	assert.Assert(t, cache.Digest() != before)
	assert.Equal(t, violations, 0)
	put(3, validDocument+"# another text\n")
	assert.Equal(t, violations, 1)
}
