package publisher

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// DocumentCache holds the newest known version of each document in one process. A
// version never goes back. It belongs to one goroutine.
type DocumentCache struct {
	assert    *asserter.Asserter
	documents map[string]framer.Document
	parsed    map[string]Document
}

// NewDocumentCache returns an empty shelf.
func NewDocumentCache(assert *asserter.Asserter) *DocumentCache {
	return &DocumentCache{
		assert:    assert,
		documents: map[string]framer.Document{},
		parsed:    map[string]Document{},
	}
}

// Put takes a version that was accepted elsewhere and tells whether it is
// newer than the one in force. Only accepted documents may be put.
func (s *DocumentCache) Put(doc framer.Document) (bool, error) {
	old := s.documents[doc.Service]
	if doc.Version <= old.Version {
		s.assert.Check(doc.Version < old.Version || doc.Text == old.Text,
			"one-text-a-document-version", "service", doc.Service, "version", doc.Version)
		return false, nil
	}
	parsed, err := Parse(doc.Text)
	if err != nil {
		return false, err
	}
	s.documents[doc.Service] = doc
	s.parsed[doc.Service] = parsed
	return true, nil
}

// Get returns the document of a service; its version is nought if there is none.
func (s *DocumentCache) Get(service string) (framer.Document, Document) {
	return s.documents[service], s.parsed[service]
}

// Digest returns a hash over the names and versions of all documents.
func (s *DocumentCache) Digest() uint64 {
	h := fnv.New64a()
	for _, doc := range s.All() {
		fmt.Fprintf(h, "%s=%d;", doc.Service, doc.Version)
	}
	return h.Sum64()
}

// All returns every document, by service name.
func (s *DocumentCache) All() []framer.Document {
	list := make([]framer.Document, 0, len(s.documents))
	for _, name := range slices.Sorted(maps.Keys(s.documents)) {
		list = append(list, s.documents[name])
	}
	return list
}
