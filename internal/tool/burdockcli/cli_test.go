package burdockcli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func run(args ...string) (stdout, stderr string, status int) {
	var out, errs bytes.Buffer
	status = New(&out, &errs).Run(context.Background(), args)
	return out.String(), errs.String(), status
}

func TestUsageErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("[[profile]]\nnam = \"x\"\n"), 0o600); err != nil {
		t.Fatalf("write: %v", err)
	}
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"fly"}, `no command "fly"`},
		{[]string{"profile", "fly"}, `no command "fly"`},
		{[]string{"profile", "apply"}, "one file must be named"},
		{[]string{"profile", "apply", "/no/such/file"}, "no such file"},
		{[]string{"profile", "apply", bad}, ":2: "},
		{[]string{"profile", "list"}, "-store must name"},
		{[]string{"state"}, "one address"},
		{[]string{"profile", "list", "-shop", "x"}, "-shop"},
	}
	for _, c := range cases {
		_, stderr, status := run(c.args...)
		if !strings.Contains(stderr, c.want) || status != 2 {
			t.Errorf("burdock %v: got status %d %q, want status 2 and %q", c.args, status, stderr, c.want)
		}
	}
}

func TestUnreachableStoreIsAFailureNotAUsageError(t *testing.T) {
	_, stderr, status := run("profile", "list", "-store", "127.0.0.1:1")
	if got, want := status, 1; got != want {
		t.Errorf("status: got %d, want %d (%s)", got, want, stderr)
	}
}

func ExampleCLI_Run() {
	status := New(os.Stdout, os.Stdout).Run(context.Background(), []string{"profile", "check", "../../../examples/tecnoval/profiles.toml"})
	fmt.Println("status", status)
	// Output:
	// ../../../examples/tecnoval/profiles.toml: no findings; profiles: 2
	// status 0
}
