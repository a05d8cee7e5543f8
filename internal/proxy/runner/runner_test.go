package runner

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A change of the settings while the proxy starts must not be missed: nothing else would make
// it read the file again.
func TestChangeOfSettingsDuringStartIsNoticed(t *testing.T) {
	Convey("A file that has been read", t, func() {
		f := &file{path: filepath.Join(t.TempDir(), "settings.yaml")}
		So(os.WriteFile(f.path, nil, 0o600), ShouldBeNil)
		_, _ = f.load()
		later := time.Now().Add(time.Second)
		So(os.Chtimes(f.path, later, later), ShouldBeNil)
		So(f.changed(), ShouldBeTrue)

		_, _ = f.load()
		So(f.changed(), ShouldBeFalse)
		So(os.Remove(f.path), ShouldBeNil)
		So(f.changed(), ShouldBeTrue)
	})
}
