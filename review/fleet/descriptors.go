package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDescriptors is the limit of descriptors of a machine.
	maxDescriptors = 4100
	// usualConnections is the number of connections that the clients of a machine keep,
	// burstConnections that in a burst.
	usualConnections = 1600
	burstConnections = 4160
	// useInterval is the time between two requests on a kept connection; four fifths of the idle
	// timeout are 12 s.
	useInterval = 8 * time.Second
	// calmTime is the time after a burst for which nothing is judged.
	calmTime = 6 * time.Second
	// newClients is the number of clients that try a new connection, newTimeout how long each waits.
	newClients = 10
	newTimeout = 2 * time.Second
)

// descriptors plays a burst of clients that keep connections to one machine.
func descriptors(r *record, folder string, trouble bool) (string, error) {
	f := newFleet(r, folder, places, 18, readWork/4)
	f.maxDescriptors = maxDescriptors
	defer f.stop()
	read := route{host: "hulo84.example", prefix: "/leny950/", kind: "idempotent", service: "templates", timeout: 1.2}
	f.configure(7, []route{read})
	if err := f.start(); err != nil {
		return "", err
	}
	n := f.nodes[4]
	begin := time.Now()
	burst, calm := begin.Add(10*time.Second), begin.Add(10*time.Second+burstTime)
	end := calm.Add(calmTime + 2*stableWindow)
	var clients sync.WaitGroup
	for i := range burstConnections {
		from, until := begin, end
		if i >= usualConnections {
			from, until = burst, calm
			if !trouble {
				break
			}
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			// The connections are opened in the course of two seconds.
			time.Sleep(time.Until(from.Add(time.Duration(i%1000) * 2 * time.Millisecond)))
			c := &caller{node: n}
			defer c.close()
			for time.Now().Before(until) {
				c.call(http.MethodGet, read, readTimeout)
				time.Sleep(min(useInterval, time.Until(until)))
			}
		}()
	}
	time.Sleep(time.Until(calm))
	r.note("the burst is over")
	time.Sleep(time.Until(calm.Add(calmTime)))
	text := n.refusesConnections(read)
	clients.Wait()
	return text, nil
}

// refusesConnections returns that the node takes no new connection for the stable window although it
// says that it is ready; empty if it takes one or is not ready.
func (n *node) refusesConnections(read route) string {
	var tries, taken atomic.Int64
	ready := true
	var clients sync.WaitGroup
	until := time.Now().Add(stableWindow + time.Second)
	for range newClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(until) {
				tries.Add(1)
				c := &caller{node: n}
				if c.call(http.MethodGet, read, newTimeout/4) {
					taken.Add(1)
				}
				c.close()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for time.Now().Before(until) {
		isReady := n.ready()
		n.fleet.record.note("%s says that it is ready: %v", n.name, isReady)
		ready = ready && isReady
		time.Sleep(time.Second)
	}
	clients.Wait()
	n.fleet.record.note("%d of %d new connections to %s were taken", taken.Load(), tries.Load(), n.name)
	if !ready || taken.Load() > 0 {
		return ""
	}
	return fmt.Sprintf("RECOVER: %s says that it is ready and takes none of %d new connections of %d clients in %v",
		n.name, tries.Load(), newClients, stableWindow+time.Second)
}
