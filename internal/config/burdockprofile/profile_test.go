package burdockprofile

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"burdockbend.example/burdockbend/internal/config/burdockentity"
)

func ExampleParse() {
	_, err := Parse("profiles.toml", []byte(`
[[profile]]
name = "bench"
defaultClass = "urgent"
defaultShare = 0
clas = [{ name = "urgent" }]
`))
	fmt.Println(err)
	// Output:
	// profiles.toml:4: profile[0].defaultClass: is "urgent", which is no class of the profile; want the name of a [[profile.class]]
	// profiles.toml:5: profile[0].defaultShare: is 0; want 0.001 to 1000000
	// profiles.toml:6: profile[0].clas: unknown key; want class
}

func TestMissingKeysGetDefaults(t *testing.T) {
	const file = "[[profile]]\nname = \"p\"\ndefaultClass = \"c\"\nstop.queued = \"finish\"\nclass = [{ name = \"c\" }]\n"
	profiles, err := Parse("f", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	p := profiles[0]
	if got, want := p.Stop, (Stop{GraceMillis: defaultGraceMillis, Queued: FinishQueued}); got != want {
		t.Errorf("Stop = %+v, want %+v", got, want)
	}
	if got, want := p.Classes[0].MaxWaitMillis, defaultMaxWaitMillis; got != want {
		t.Errorf("MaxWaitMillis = %d, want %d", got, want)
	}
	if got, want := p.ShareOf("anyone"), defaultShare; got != want {
		t.Errorf("ShareOf = %v, want %v", got, want)
	}
	stored := burdockentity.Entity{Key: "profile/p", Value: []byte(`{"name":"p"}`)}
	assembled, err := Assemble([]burdockentity.Entity{stored})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := assembled[0].Retry.MaxAttempts, defaultMaxAttempts; got != want {
		t.Errorf("MaxAttempts missing from a stored profile = %d, want %d", got, want)
	}
}

func FuzzParse(f *testing.F) {
	for _, dir := range []string{"tecnoval", "nuty-wspolne"} {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", dir, "profiles.toml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		profiles, err := Parse("f", data)
		if err != nil {
			return
		}
		entities, err := Split(profiles)
		if err != nil {
			t.Fatal(err)
		}
		assembled, err := Assemble(entities)
		if err != nil {
			t.Fatal(err)
		}
		if findings := Check(assembled); len(findings) > 0 {
			t.Errorf("Check of profiles read back from the store = %v, want none", findings)
		}
	})
}
