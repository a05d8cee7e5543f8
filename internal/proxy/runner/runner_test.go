package runner

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/observe/reporter"
	"github.com/tamarackscale/tamarackscale/internal/settings/reader"
)

// fakeProxy records the reason of its stop.
type fakeProxy struct {
	stopped chan string
	log     *reporter.Reporter
}

func (p fakeProxy) Stop(reason string)           { p.stopped <- reason }
func (fakeProxy) Reload(*reader.Settings)        {}
func (p fakeProxy) Reporter() *reporter.Reporter { return p.log }

// The settings file may be on a disk that does not respond. A stop that waited for it would
// begin late and be cut off at the end of the grace time.
func TestBlockedReloadDoesNotDelayStop(t *testing.T) {
	Convey("A proxy is stopped while it reads its settings again", t, func() {
		path := filepath.Join(t.TempDir(), "settings")
		// Opening a FIFO for reading blocks until it has a writer.
		So(syscall.Mkfifo(path, 0o600), ShouldBeNil)
		p := fakeProxy{stopped: make(chan string, 1), log: reporter.New("vm-1", "x", io.Discard)}
		signals := make(chan os.Signal, 4)
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		go serveUntilSignal(p, &file{path: path}, signals)
		defer func() {
			// Lets a reload that is blocked end.
			if writer, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
				_ = writer.Close()
			}
		}()
		select {
		case reason := <-p.stopped:
			So(reason, ShouldEqual, syscall.SIGTERM.String())
		case <-time.After(time.Minute):
			So("no stop within a minute", ShouldBeEmpty)
		}
	})
}

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
