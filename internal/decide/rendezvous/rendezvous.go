// Package rendezvous orders candidates for a name by rendezvous (highest random weight) hashing. All instances with the same
// candidates compute the same order, and adding or removing a candidate moves only the names for which it ranks first. It ranks
// the candidates for the primary of a backend, for control tasks, for the zone reader and for the coordinator.
package rendezvous

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// separator separates name and candidate; neither may contain it.
const separator = "\x00"

func score(name, candidate string) uint64 {
	return xxhash.Sum64String(name + separator + candidate)
}

// Order returns the candidates for a name, best first. Equal scores are ordered by candidate.
func Order[T ~string](name string, candidates []T) []T {
	return OrderBy(name, candidates, func(c T) string { return string(c) })
}

// OrderBy returns the candidates for a name, best first. The function id must return a unique id for each candidate.
func OrderBy[T any](name string, candidates []T, id func(T) string) []T {
	type scored struct {
		candidate T
		id        string
		score     uint64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{candidate: c, id: id(c), score: score(name, id(c))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ordered := make([]T, len(list))
	for i, s := range list {
		ordered[i] = s.candidate
	}
	return ordered
}

// Rank returns the number of candidates that Order places before the given one.
func Rank[T ~string](name string, candidate T, candidates []T) int {
	rank, own := 0, score(name, string(candidate))
	for _, c := range candidates {
		if s := score(name, string(c)); s > own || (s == own && c < candidate) {
			rank++
		}
	}
	return rank
}

// Group returns the lease group that serves a name among the groups of its zone. It reports false if there is no group.
func Group(name string, groups []uint32) (uint32, bool) {
	if len(groups) == 0 {
		return 0, false
	}
	best := groups[0]
	bestScore := score(name, strconv.FormatUint(uint64(best), 10))
	for _, g := range groups[1:] {
		s := score(name, strconv.FormatUint(uint64(g), 10))
		if s > bestScore || (s == bestScore && g < best) {
			best, bestScore = g, s
		}
	}
	return best, true
}
