package burdockplacelab

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew")

func TestCommandGolden(t *testing.T) {
	var out bytes.Buffer
	args := []string{"-replicas", "6", "-entries", "2", "-slots", "8", "-seconds", "10", "-seed", "7"}
	if err := Command(&out).ParseAndRun(context.Background(), args); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("testdata", "placing.golden")
	if *update {
		if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := out.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("output:\n%s\nwant:\n%s", got, want)
	}
}

func TestCommandRejectsValuesThatNoRunCanUse(t *testing.T) {
	for _, args := range [][]string{{"-replicas", "0"}, {"-utilisation", "0"}, {"-lag", "-1"}, {"-seconds", "0"}, {"-policies", "best"}} {
		if err := Command(&bytes.Buffer{}).ParseAndRun(context.Background(), args); err == nil {
			t.Errorf("%v: no error, want one", args)
		}
	}
}
