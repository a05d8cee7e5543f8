// Command hedges compares policies of hedging by a replay and prints the table of
// docs/design/hedging.md.
package main

import (
	"fmt"
	"sync"

	"github.com/alecthomas/kong"

	"github.com/tamarackscale/tamarackscale/standin/replayer"
)

type options struct {
	Seeds  uint64    `default:"6" help:"Number of seeded loads of which the results are added."`
	Fault  string    `help:"Replay only this fault."`
	Policy string    `help:"Replay only this policy."`
	Loads  []float64 `default:"0.5,0.8,1.0,1.3" help:"Offered work as fractions of the capacity."`
	Jobs   int       `default:"2" help:"Replays that run at once."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Compares policies of hedging by a replay of seeded loads."))
	scenarios := scenariosOf(o)
	results := replayAll(scenarios, o)
	fmt.Println("| load | fault | policy | p50 ms | p99 ms | p99.9 ms | in time | extra work | not idempotent, in time |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for i, s := range scenarios {
		r := results[i]
		fmt.Printf("| %.1f | %s | %s | %d | %d | %d | %.4f | %.3f | %.4f |\n", s.Load, s.Fault, s.Policy.Name,
			r.Percentile(0.5).Milliseconds(), r.Percentile(0.99).Milliseconds(), r.Percentile(0.999).Milliseconds(),
			replayer.Share(r.InTime, r.Idempotent), replayer.Share(r.Extra, r.Calls), replayer.Share(r.PlainInTime, r.Plain))
	}
}

// scenariosOf returns the scenarios that the options choose, without seeds.
func scenariosOf(o options) []replayer.Scenario {
	var scenarios []replayer.Scenario
	for _, load := range o.Loads {
		for _, fault := range replayer.Faults {
			if o.Fault != "" && o.Fault != string(fault) {
				continue
			}
			for _, policy := range replayer.Policies {
				if o.Policy != "" && o.Policy != policy.Name {
					continue
				}
				scenarios = append(scenarios, replayer.Scenario{Fault: fault, Policy: policy, Load: load})
			}
		}
	}
	return scenarios
}

// replayAll returns the sum of the results of each scenario over all seeds.
func replayAll(scenarios []replayer.Scenario, o options) []*replayer.Result {
	results := make([]*replayer.Result, len(scenarios))
	slots := make(chan struct{}, max(1, o.Jobs))
	var running sync.WaitGroup
	for i, s := range scenarios {
		slots <- struct{}{}
		running.Go(func() {
			results[i] = &replayer.Result{}
			for s.Seed = 1; s.Seed <= o.Seeds; s.Seed++ {
				results[i].Add(replayer.Run(s))
			}
			<-slots
		})
	}
	running.Wait()
	return results
}
