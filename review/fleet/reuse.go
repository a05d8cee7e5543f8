package main

import (
	"fmt"
	"time"
)

const (
	// reuseTime is how long an address is unused before an endpoint of another service gets it.
	reuseTime = 2 * time.Second
	// callsPerSecond is the rate of requests that begin at the machine.
	callsPerSecond = 40
)

// reuse plays an endpoint that ends for good and whose address goes to one of another service. The
// platform changes the settings of the machine when that starts, without a signal.
func reuse(r *record, folder string, trouble bool) (string, error) {
	f := newFleet(r, folder, places, 18, orderWork)
	defer f.stop()
	read := route{host: "hulo84.example", prefix: "/leny950/", kind: "idempotent", service: "templates", timeout: 0.8}
	f.configure(7, []route{read})
	if err := f.start(); err != nil {
		return "", err
	}
	n := f.nodes[5]
	begin := time.Now()
	var from time.Duration
	failed := make(chan error, 1)
	go func() {
		time.Sleep(4 * time.Second)
		if !trouble {
			failed <- nil
			return
		}
		n.endpoint.exit()
		r.note("%s of %s ends for good", n.endpoint.id, n.endpoint.service)
		time.Sleep(reuseTime)
		n.endpoint = &endpoint{
			id: "i-02d9e6b4", service: "templates", zone: n.zone, address: n.address(appPort), slots: 18, work: orderWork,
			record: r, control: n.address(controlPort),
		}
		if _, err := n.settings(); err != nil {
			failed <- err
			return
		}
		if err := n.endpoint.start(heartbeatInterval); err != nil {
			failed <- err
			return
		}
		for !n.endpoint.acknowledged.Load() {
			time.Sleep(time.Millisecond)
		}
		from = r.now()
		r.note("%s of %s runs at the address, the settings name that service, its heartbeat is acknowledged", n.endpoint.id, n.endpoint.service)
		failed <- nil
	}()
	(&caller{node: n}).drive("GET", read, callsPerSecond, readTimeout, begin.Add(14*time.Second))
	if err := <-failed; err != nil {
		return "", err
	}
	return r.wrongService(n, from), nil
}

// wrongService returns how many requests that were sent from a machine after the given time named
// another service than that of the machine; empty if there are none.
func (r *record) wrongService(n *node, from time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, example := 0, ""
	for _, a := range r.arrivals {
		if s := r.requests[a.id]; s == nil || s.node != n || s.at <= from || a.callerService == n.endpoint.service {
			continue
		}
		count++
		example = fmt.Sprintf("request %s, sent %.1f s after that, names %q", a.id, (r.requests[a.id].at - from).Seconds(), a.callerService)
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("UNASKED: %d requests that began on %s ran with another X-Caller-Service than %q; the last: %s",
		count, n.name, n.endpoint.service, example)
}
