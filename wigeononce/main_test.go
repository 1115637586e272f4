package wigeononce_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of property checks, so that results are reproducible; -rapid.seed and
// -rapid.checks override them. The seed reproduces a failure, so rapid writes no failure files.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
