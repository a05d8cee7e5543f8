package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// canaryWeight is the weight in percent of the service that loses its only endpoint.
	canaryWeight = 10
	// firstPerSecond and addedPerSecond are the rates of requests on the first and the added route.
	firstPerSecond = 50
	addedPerSecond = 100
	canaryWork     = 30 * time.Millisecond
	// lingerTime is how long the leaving endpoint serves on after the acknowledgement.
	lingerTime = 3 * time.Second
	// servedFraction is the fraction of the first routes' share of served requests below which an
	// added route breaks the rule, and leastRequests the number of requests for it.
	servedFraction = 0.25
	leastRequests  = 20
)

// canary plays an added route with a traffic split, of whose services the one with the lower weight
// has lost its only endpoint. All clients send their orders to the same path.
func canary(r *record, folder string, trouble bool) (string, error) {
	with := append([]place{}, places...)
	with[7].service = "canary"
	f := newFleet(r, folder, with, 18, canaryWork)
	defer f.stop()
	first := route{host: "hulo84.example", prefix: "/leny950/", kind: "idempotent", service: "templates", timeout: 1.2}
	added := route{
		host: "hulo84.example", prefix: "/puka111/", kind: "non_idempotent", service: "orders", timeout: 1.2,
		other: "canary", otherWeight: canaryWeight,
	}
	f.configure(7, []route{first})
	if err := f.start(); err != nil {
		return "", err
	}
	f.configure(9, []route{first, added})
	r.note("version 9 adds a route to orders and canary")
	time.Sleep(3 * time.Second)
	if leaving := f.nodes[7].endpoint; trouble {
		leaving.silent.Store(true)
		for !leaving.send("instances.deregister", leaving.leave()) {
			time.Sleep(50 * time.Millisecond)
		}
		r.note("%s of canary has deregistered, acknowledged", leaving.id)
		time.Sleep(lingerTime)
		leaving.exit()
		r.note("%s exits", leaving.id)
	}
	time.Sleep(settleTime)
	r.note("steady state begins")
	until := time.Now().Add(15 * time.Second)
	var clients sync.WaitGroup
	clients.Add(2)
	go func() {
		defer clients.Done()
		f.driveAll(http.MethodGet, first, firstPerSecond, readTimeout, until)
	}()
	go func() {
		defer clients.Done()
		f.driveAll(http.MethodPost, added, addedPerSecond, readTimeout, until)
	}()
	clients.Wait()
	return r.servedLess(first.service, added.service), nil
}

// servedLess compares the share of served requests on an added route with that on the first one.
func (r *record) servedLess(first, added string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, served := map[string]int{}, map[string]int{}
	for _, s := range r.requests {
		all[s.service]++
		if s.status == http.StatusOK {
			served[s.service]++
		}
	}
	share := func(service string) float64 { return float64(served[service]) / float64(max(1, all[service])) }
	text := fmt.Sprintf("%d of %d requests on the added route were served, %d of %d on the first one",
		served[added], all[added], served[first], all[first])
	r.add("note", "", text)
	if all[added] < leastRequests || share(added) >= servedFraction*share(first) {
		return ""
	}
	return "CONFIG: " + text
}
