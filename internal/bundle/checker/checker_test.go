package checker_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/bundle/checker"
	"github.com/tamarackscale/tamarackscale/internal/bundle/parser"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden compares text with a golden file, or rewrites the file under -update.
func golden(path, text string) {
	if *update {
		So(os.WriteFile(path, []byte(text), 0o644), ShouldBeNil)
	}
	want, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	So(text, ShouldEqual, string(want))
}

func check(path string, data []byte) error {
	bundle, findings := parser.Parse(path, data)
	if findings.Err() == nil {
		checker.Check(bundle, findings)
	}
	return findings.Err()
}

func TestInvalidBundleReportsAllFindings(t *testing.T) {
	for _, name := range []string{"bad", "types"} {
		Convey("all findings of "+name+" are reported with line and key", t, func() {
			path := filepath.Join("testdata", name+".yaml")
			data, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			golden(filepath.Join("testdata", name+".golden"), check(name+".yaml", data).Error()+"\n")
		})
	}
}

func TestExampleBundlesAreValid(t *testing.T) {
	paths, _ := filepath.Glob("../../../deployments/*/bundle.yaml")
	Convey("the example bundles have no findings", t, func() {
		So(len(paths), ShouldEqual, 2)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			So(check(path, data), ShouldBeNil)
		}
	})
}

func TestOversizedBundleIsRejected(t *testing.T) {
	Convey("a bundle above the limit of one megabyte is rejected", t, func() {
		data, err := os.ReadFile("../../../deployments/kremnica/bundle.yaml")
		So(err, ShouldBeNil)
		var tenants strings.Builder
		for i := range 30_000 {
			tenants.WriteString("\n  - name: tenant" + strings.Repeat("x", 10) + string(rune('a'+i%26)) + strings.Repeat("y", i%7))
		}
		large := strings.Replace(string(data), "\n  - name: workshop", tenants.String(), 1)
		So(check("large.yaml", []byte(large)).Error(), ShouldContainSubstring, "bytes, which exceeds the limit of")
	})
}
