package loader_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/settings/loader"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestAllFindingsAreReported(t *testing.T) {
	for _, name := range []string{"bad", "types"} {
		Convey("all findings of "+name+" with file and line", t, func() {
			data, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
			So(err, ShouldBeNil)
			_, err = loader.Parse(name+".yaml", data)
			So(err, ShouldNotBeNil)
			path := filepath.Join("testdata", name+".golden")
			if *update {
				So(os.WriteFile(path, []byte(err.Error()+"\n"), 0o644), ShouldBeNil)
			}
			want, readErr := os.ReadFile(path)
			So(readErr, ShouldBeNil)
			So(err.Error()+"\n", ShouldEqual, string(want))
		})
	}
	Convey("an empty file and a missing file are errors", t, func() {
		_, err := loader.Parse("empty.yaml", nil)
		So(err.Error(), ShouldContainSubstring, "the document is empty")
		_, err = loader.Load(filepath.Join(t.TempDir(), "missing.yaml"))
		So(err.Error(), ShouldContainSubstring, "no such file")
	})
}
