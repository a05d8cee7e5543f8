package reader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const validSettings = `node: {id: "n-1", ip: "10.0.0.1", availabilityZone: "z"}
listen:
  callers: "10.0.0.1:1"
  readiness: "10.0.0.1:2"
  control: "10.0.0.1:3"
  metrics: "10.0.0.1:4"
  ports: [7000,7015]
platform: {address: "10.9.0.1:80"}
upstream: {service: "s", address: "10.0.0.1:5"}
seeds: ["10.0.0.1:3","10.0.0.2:3","nonsense"]
bounds: {drainTime: 2s, grace: 6s, repeatRatio: 0.2, repeatSlack: 56, repeatWindow: 10s}
`

func TestSettingsAreRead(t *testing.T) {
	Convey("Valid settings, and the addresses derived from them", t, func() {
		s, err := Parse("f", []byte(validSettings))
		So(err, ShouldBeNil)
		So(s.Bounds.DrainTime.Std(), ShouldEqual, 2*time.Second)
		So(s.PeerAddress(), ShouldEqual, "10.0.0.1:7000")
		So(s.SeedAddresses(), ShouldResemble, []string{"10.0.0.2:7000"})
	})
}

func TestAllFindingsAreReported(t *testing.T) {
	Convey("All findings are returned together, with their lines", t, func() {
		invalid := strings.NewReplacer(
			`id: "n-1"`, `id: ""`, `ip: "10.0.0.1"`, `ip: "here"`, "[7000,7015]", "[7015,7000]",
			"drainTime: 2s", "drainTime: 0s", `address: "10.9.0.1:80"`, `address: "store"`,
		).Replace(validSettings)
		_, err := Parse("settings.yaml", []byte(invalid))
		So(err, ShouldNotBeNil)
		want, readErr := os.ReadFile(filepath.Join("testdata", "findings.golden"))
		So(readErr, ShouldBeNil)
		So(err.Error()+"\n", ShouldEqual, string(want))
	})
	Convey("An unknown key is a finding", t, func() {
		_, err := Parse("f", []byte(validSettings+"odd: 1\n"))
		So(err, ShouldNotBeNil)
	})
}

func TestOptionalNodeSettings(t *testing.T) {
	withOptional := func(link, first string) string {
		return strings.Replace(validSettings, `availabilityZone: "z"}`, `availabilityZone: "z", linkRate: `+link+"}\nfirstStart: "+first, 1)
	}
	Convey("Values that are set, and empty values, which a template leaves for unset ones", t, func() {
		s, err := Parse("f", []byte(withOptional("7.5", "true")))
		So(err, ShouldBeNil)
		So(s.Node.LinkRate, ShouldEqual, 7.5)
		So(s.FirstStart, ShouldBeTrue)
		s, err = Parse("f", []byte(withOptional("", "")))
		So(err, ShouldBeNil)
		So(s.Node.LinkRate, ShouldEqual, 0)
		So(s.FirstStart, ShouldBeFalse)
	})
	Convey("A negative link rate is a finding", t, func() {
		_, err := Parse("f", []byte(withOptional("-1", "false")))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "node.linkRate")
	})
}

// An address without brackets can't be dialled, so that no other node would reach this one.
func TestAddressOfIPv6NodeHasBrackets(t *testing.T) {
	Convey("The addresses derived from IPv6 addresses", t, func() {
		s, err := Parse("f", []byte(strings.NewReplacer(
			`ip: "10.0.0.1"`, `ip: "2001:DB8::1"`, `"10.0.0.2:3"`, `"[2001:db8::2]:3"`, `["10.0.0.1:3"`, `["[2001:db8::1]:3"`,
		).Replace(validSettings)))
		So(err, ShouldBeNil)
		So(s.PeerAddress(), ShouldEqual, "[2001:db8::1]:7000")
		So(s.SeedAddresses(), ShouldResemble, []string{"[2001:db8::2]:7000"})
	})
}

// Numbers that compare as neither too small nor too large pass a check of bounds, and a port
// that doesn't exist is found only when the node listens.
func TestNumbersOutOfRangeAreFindings(t *testing.T) {
	cases := []struct{ key, valid, invalid string }{
		{"bounds.repeatRatio", "repeatRatio: 0.2", "repeatRatio: .nan"},
		{"bounds.repeatRatio", "repeatSlack: 56", "repeatSlack: .nan"},
		{"node.linkRate", `availabilityZone: "z"`, `availabilityZone: "z", linkRate: .nan`},
		{"listen.ports", "[7000,7015]", "[7000,65536]"},
		{"limits.memory", "seeds:", "limits: {memory: -1}\nseeds:"},
		{"limits.descriptors", "seeds:", "limits: {descriptors: -1}\nseeds:"},
		{"quotas.windowSeconds", "seeds:", "quotas: {windowSeconds: .nan}\nseeds:"},
		{"quotas.excess", "seeds:", "quotas: {windowSeconds: 5, excess: .nan}\nseeds:"},
		{"rollouts.exposureShare", "seeds:", "rollouts: {exposureShare: 0, rollbackSeconds: 5}\nseeds:"},
		{"rollouts.exposureSlack", "seeds:", "rollouts: {exposureShare: 0.1, exposureSlack: -1, rollbackSeconds: 5}\nseeds:"},
		{"rollouts.rollbackSeconds", "seeds:", "rollouts: {exposureShare: 0.1}\nseeds:"},
		{"hedging.extraWork", "seeds:", "hedging: {extraWork: 1.5}\nseeds:"},
	}
	Convey("Each is a finding", t, func() {
		for _, c := range cases {
			_, err := Parse("f", []byte(strings.Replace(validSettings, c.valid, c.invalid, 1)))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.key)
		}
	})
}

// Guards against a feature that is switched on for a deployment whose settings do not name it.
func TestFeaturesAreOffUnlessSet(t *testing.T) {
	Convey("Absent sections are nil, present ones hold their values", t, func() {
		s, err := Parse("f", []byte(validSettings))
		So(err, ShouldBeNil)
		So(s.Quotas, ShouldBeNil)
		So(s.Rollouts, ShouldBeNil)
		So(s.Hedging, ShouldBeNil)
		s, err = Parse("f", []byte(validSettings+`limits: {memory: null, descriptors: null}
quotas: {windowSeconds: null, excess: null, slack: null}
rollouts: {exposureShare: null, exposureSlack: null, rollbackSeconds: null}
`))
		So(err, ShouldBeNil)
		So(s.Quotas, ShouldBeNil)
		So(s.Rollouts, ShouldBeNil)
		So(s.Limits.MemoryOrDefault(), ShouldEqual, 184)
		s, err = Parse("f", []byte(validSettings+`limits: {memory: 184, descriptors: 4100}
quotas: {windowSeconds: 5, excess: 0.1, slack: 20}
rollouts: {exposureShare: 0.1, exposureSlack: 50, rollbackSeconds: 5}
hedging: {extraWork: 0.02}
`))
		So(err, ShouldBeNil)
		So(s.Limits, ShouldResemble, Limits{Memory: 184, Descriptors: 4100})
		So(s.Quotas.Window(), ShouldEqual, 5*time.Second)
		So(s.Rollouts.ExposureShare, ShouldEqual, 0.1)
		So(s.Hedging.ExtraWork, ShouldEqual, 0.02)
	})
}
