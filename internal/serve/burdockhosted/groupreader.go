package burdockhosted

import (
	"maps"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/serve/burdockdirect"
	"burdockbend.example/burdockbend/internal/state/burdockkv"
)

// groupReader tells an entry which engines form a lock-step group, from the addresses that
// the agents write.
type groupReader struct {
	mirror *burdockkv.Mirror
	entry  *burdockdirect.Entry
	groups map[string]burdockid.Group // by engine address, as last read
}

func newGroupReader(entry *burdockdirect.Entry) *groupReader {
	r := &groupReader{mirror: burdockkv.NewMirror(), entry: entry}
	r.mirror.Subscribe(r.changed)
	return r
}

// changed is called after each change of the mirror, never concurrently.
func (r *groupReader) changed() {
	groups := readGroups(r.mirror.Items())
	if !maps.Equal(r.groups, groups) {
		r.groups = groups
		r.entry.SetGroups(groups)
	}
}

// readGroups returns the groups of the engines by address. An engine may have moved to a
// rank of another group; its latest record counts.
func readGroups(items []burdockkv.Item) map[string]burdockid.Group {
	groups := make(map[string]burdockid.Group, len(items))
	written := make(map[string]burdockkv.Position, len(items))
	for _, item := range items {
		name := strings.TrimPrefix(item.Key, prefixRank)
		slash := strings.LastIndexByte(name, '/')
		_, engine, ok := strings.Cut(string(item.Value), " ")
		if slash <= 0 || !ok || item.Modified.Compare(written[engine]) < 0 {
			continue
		}
		groups[engine], written[engine] = burdockid.Group(name[:slash]), item.Modified
	}
	return groups
}
