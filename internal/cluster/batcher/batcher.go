// Package batcher collects updates until they are pushed to peers.
package batcher

import (
	"maps"
	"slices"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
)

// Batch collects updates to be pushed. The last entry added for a node and the last
// document added for a key replace earlier ones. The zero value is an empty batch. It is
// not safe for concurrent use; its owner holds a lock.
type Batch struct {
	entries   map[string]merger.Entry
	documents map[string]merger.Document
	// from is the ID of the peer that sent all of the updates, as in Updates.From.
	from string
}

// Updates are the contents of a batch.
type Updates struct {
	Entries []merger.Entry
	// Stamps identify the documents.
	Stamps []merger.Stamp
	// From is the ID of the peer that sent all of the updates. It is empty if they
	// came from several peers or from this node.
	From string
}

// Empty reports whether there are no updates.
func (u Updates) Empty() bool { return len(u.Entries) == 0 && len(u.Stamps) == 0 }

// Add adds updates from a peer, or from this node if from is empty. It reports
// whether there were any.
func (b *Batch) Add(entries []merger.Entry, documents []merger.Document, from string) bool {
	if len(entries) == 0 && len(documents) == 0 {
		return false
	}
	if b.entries == nil {
		*b = Batch{entries: map[string]merger.Entry{}, documents: map[string]merger.Document{}, from: from}
	}
	if b.from != from {
		b.from = ""
	}
	for _, entry := range entries {
		b.entries[entry.ID] = entry
	}
	for _, document := range documents {
		b.documents[document.Key] = document
	}
	return true
}

// Take returns the collected updates and empties the batch.
func (b *Batch) Take() Updates {
	updates := Updates{Entries: slices.Collect(maps.Values(b.entries)), From: b.from}
	for _, document := range b.documents {
		updates.Stamps = append(updates.Stamps, merger.Stamp{Key: document.Key, Revision: document.Revision})
	}
	*b = Batch{}
	return updates
}
