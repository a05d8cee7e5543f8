package merger

import (
	"hash/fnv"
	"sort"
)

// Fingers returns the members that the node with the given ID contacts: those
// at distance 1, 2, 4 and so on after it in the ring of members ordered by ID.
// An update that each node pushes to its fingers reaches n members in log2(n)
// hops, over log2(n) connections per node.
//
// Source: the finger table of Stoica et al., "Chord: A Scalable Peer-to-peer
// Lookup Service for Internet Applications", SIGCOMM 2001, on ranks instead of
// a hash space.
func Fingers(members []Entry, id string) []Entry {
	count := len(members)
	self := sort.Search(count, func(i int) bool { return members[i].ID >= id })
	offset := 0
	if self == count || members[self].ID != id {
		// The node is not listed, so self is the index of its successor, which is at
		// distance 1.
		offset = -1
	}
	var fingers []Entry
	for distance := 1; distance+offset < count; distance *= 2 {
		finger := members[(self+distance+offset)%count]
		if finger.ID != id {
			fingers = append(fingers, finger)
		}
	}
	return fingers
}

// NextHop returns the next hop from the node with the given ID to the target. Each
// hop clears the lowest set bit of the distance to the target. A message takes at
// most log2(n) hops, and the target receives messages from log2(n) members instead
// of all. If the node or the target is not listed, the next hop is the target.
func NextHop(members []Entry, id string, target Entry) Entry {
	self := position(members, id)
	goal := position(members, target.ID)
	if self < 0 || goal < 0 {
		return target
	}
	distance := (self - goal + len(members)) % len(members)
	return members[(goal+distance&(distance-1))%len(members)]
}

// position returns the index of a node in members, which are ordered by ID, or -1.
func position(members []Entry, id string) int {
	i := sort.Search(len(members), func(i int) bool { return members[i].ID >= id })
	if i == len(members) || members[i].ID != id {
		return -1
	}
	return i
}

// Bridges returns the members of a zone that exchange views with other zones and may
// become its relay: the first count by rendezvous hashing. Every node computes
// them from its own view; differing views only cost a few more messages.
func Bridges(members []Entry, count int) []Entry {
	ranked := append([]Entry(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := weight(ranked[i]), weight(ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i].ID < ranked[j].ID
	})
	return ranked[:min(count, len(ranked))]
}

// OtherZones returns the zones of the members except the given one, in the order
// of their first members.
func OtherZones(members []Entry, zone string) []string {
	var zones []string
	seen := map[string]bool{zone: true}
	for _, entry := range members {
		if !seen[entry.Zone] {
			seen[entry.Zone] = true
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}

// FirstBridges returns the first bridge of each zone except the given one.
func FirstBridges(members []Entry, zone string) []Entry {
	byZone := map[string][]Entry{}
	for _, entry := range members {
		byZone[entry.Zone] = append(byZone[entry.Zone], entry)
	}
	var first []Entry
	for _, other := range OtherZones(members, zone) {
		first = append(first, Bridges(byZone[other], 1)...)
	}
	return first
}

// weight returns the rendezvous hash by which bridges are chosen.
func weight(e Entry) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(e.Zone + "/bridge/" + e.ID))
	return mix(digest.Sum64())
}

// mix spreads the bits of a hash; it is the finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
