package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is the memory of a machine, above which the platform kills the process.
	memoryLimit = 284 << 20
	// memoryInterval is the interval at which the platform looks at the memory.
	memoryInterval = 20 * time.Millisecond
)

// resident returns the resident memory of the node's process in bytes.
func (n *node) resident() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// limitMemory kills the node's process whenever it exceeds its memory, and starts it again.
func (n *node) limitMemory(done <-chan struct{}) error {
	most := int64(0)
	defer func() { n.fleet.record.note("%s used %d MB of memory at most", n.name, most>>20) }()
	for {
		select {
		case <-done:
			return nil
		case <-time.After(memoryInterval):
		}
		used := n.resident()
		most = max(most, used)
		if used <= memoryLimit {
			continue
		}
		n.fleet.record.note("%s uses %d MB of memory", n.name, used>>20)
		n.kill()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			return err
		}
	}
}

// The load of the case uploads.
const (
	uploadBytes   = 16 << 20
	uploadRate    = 6e6 // bytes per second of one client
	uploadTimeout = 5 * time.Second
	uploadWork    = 120 * time.Millisecond
	// usualClients is the number of clients of a machine that upload, burstClients that in a burst.
	usualClients = 5
	burstClients = 12
	burstTime    = 6500 * time.Millisecond
	// memoryOrdersPerSecond is the rate of small requests at each of the machines.
	memoryOrdersPerSecond = 40
	// uploadPause is the pause of a client between an answer and its next request.
	uploadPause = 200 * time.Millisecond
	// lostAllowed is how many requests of the rule LOST may be lost.
	lostAllowed = 3
)

// uploads plays a burst of clients whose requests have large bodies.
func uploads(r *record, folder string, trouble bool) (string, error) {
	f := newFleet(r, folder, places, 18, uploadWork)
	defer f.stop()
	post := route{host: "jepu9.example", prefix: "/puka111/", kind: "non_idempotent", service: "templates", timeout: 5}
	order := route{host: "hulo84.example", prefix: "/leny950/", kind: "non_idempotent", service: "orders", timeout: 0.8}
	f.configure(7, []route{post, order})
	if err := f.start(); err != nil {
		return "", err
	}
	done := make(chan struct{})
	var watches, clients sync.WaitGroup
	var failed atomic.Pointer[error]
	for _, n := range f.nodes {
		watches.Add(1)
		go func() {
			defer watches.Done()
			if err := n.limitMemory(done); err != nil {
				failed.Store(&err)
			}
		}()
	}
	// Machines of two zones, so that the endpoints of both share the uploads.
	busy := []*node{f.nodes[4], f.nodes[6]}
	begin := time.Now()
	end, burst := begin.Add(24*time.Second), begin.Add(8*time.Second)
	for _, n := range busy {
		for i := range burstClients {
			from, until := begin, end
			if i >= usualClients {
				from, until = burst, burst.Add(burstTime)
				if !trouble {
					continue
				}
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Until(from))
				(&caller{node: n, body: uploadBytes, rate: uploadRate}).repeat(post, until)
			}()
		}
	}
	for _, n := range busy {
		clients.Add(1)
		go func() {
			defer clients.Done()
			(&caller{node: n}).drive(http.MethodPost, order, memoryOrdersPerSecond, orderTimeout, end)
		}()
	}
	clients.Wait()
	close(done)
	watches.Wait()
	if err := failed.Load(); err != nil {
		return "", *err
	}
	return r.lost(), nil
}

// repeat makes one call after another until the given time.
func (c *caller) repeat(r route, until time.Time) {
	for time.Now().Before(until) {
		c.call(http.MethodPost, r, uploadTimeout)
		time.Sleep(uploadPause)
	}
}

// lost returns how many requests were passed on to an endpoint while the kept connection on which
// they came ended without an answer; empty if there are no more than the rule allows.
func (r *record) lost() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := map[string]bool{}
	for _, a := range r.arrivals {
		ran[a.id] = true
	}
	count := 0
	for id, s := range r.requests {
		if s.kept && s.err != "" && ran[id] {
			count++
		}
	}
	if count <= lostAllowed {
		return ""
	}
	return fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound endpoints, and their connections ended without an answer", count)
}
