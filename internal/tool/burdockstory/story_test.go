package burdockstory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockgolden"
)

// A request was refused by one entry and answered by the next. Between the logs
// stand lines of other programs, and one was cut as its process was killed.
func TestStory(t *testing.T) {
	var logs []Log
	for _, name := range []string{"entry-1.log", "entry-2.log"} {
		data, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		logs = append(logs, Log{Name: name, Lines: strings.NewReader(string(data))})
	}
	for _, request := range []string{"r1", "unknown"} {
		story, err := Read(request, logs)
		if err != nil {
			t.Fatal(err)
		}
		var got strings.Builder
		if err := story.Print(&got); err != nil {
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
