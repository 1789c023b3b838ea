package burdocktimeline

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

// One entry refuses a request and the next one answers it. The logs also contain
// lines of other programs, and a line truncated when its process was killed.
func TestTimeline(t *testing.T) {
	var logs []Log
	for _, name := range []string{"entry-1.log", "entry-2.log"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		logs = append(logs, Log{Name: name, Lines: strings.NewReader(string(data))})
	}
	for _, request := range []string{"r1", "unknown"} {
		timeline, err := Read(request, logs)
		if err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		if err := timeline.Print(&got); err != nil {
			t.Fatal(err)
		}
		burdockgolden.Compare(t, request, got.String())
		for i := range logs {
			data, err := os.ReadFile(filepath.Join("testdata", logs[i].Name))
			if err != nil {
				t.Fatal(err)
			}
			logs[i].Lines = strings.NewReader(string(data))
		}
	}
}
