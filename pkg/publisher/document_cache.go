package publisher

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// DocumentCache caches the newest version of each document in one process. A
// cached version is never replaced by an older one. It belongs to one
// goroutine.
type DocumentCache struct {
	assert    *asserter.Asserter
	documents map[string]framer.Document
	parsed    map[string]Document
}

// NewDocumentCache returns an empty cache.
func NewDocumentCache(assert *asserter.Asserter) *DocumentCache {
	return &DocumentCache{
		assert:    assert,
		documents: map[string]framer.Document{},
		parsed:    map[string]Document{},
	}
}

// Put adds a version that the editor accepted and reports whether it is newer
// than the cached one. Only accepted documents may be passed. It returns the
// error of parsing the text.
func (c *DocumentCache) Put(doc framer.Document) (bool, error) {
	old := c.documents[doc.Service]
	if doc.Version <= old.Version {
		c.assert.Check(doc.Version < old.Version || doc.Text == old.Text,
			"one-text-a-document-version", "service", doc.Service, "version", doc.Version)
		return false, nil
	}
	parsed, err := Parse(doc.Text)
	if err != nil {
		return false, err
	}
	c.documents[doc.Service] = doc
	c.parsed[doc.Service] = parsed
	return true, nil
}

// Get returns the document of a service, as received and parsed. Its version
// is 0 if there is none.
func (c *DocumentCache) Get(service string) (framer.Document, Document) {
	return c.documents[service], c.parsed[service]
}

// Digest returns a hash of the names and versions of all documents.
func (c *DocumentCache) Digest() uint64 {
	h := fnv.New64a()
	for _, doc := range c.All() {
		fmt.Fprintf(h, "%s=%d;", doc.Service, doc.Version)
	}
	return h.Sum64()
}

// All returns all documents, sorted by service name.
func (c *DocumentCache) All() []framer.Document {
	list := make([]framer.Document, 0, len(c.documents))
	for _, name := range slices.Sorted(maps.Keys(c.documents)) {
		list = append(list, c.documents[name])
	}
	return list
}
