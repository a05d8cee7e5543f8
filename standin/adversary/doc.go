// Package adversary runs a process of tamarackscale-proxy on loopback addresses beside clients that
// spend the process's memory and descriptors, and upstreams that break the protocol. Its tests check that
// the process lives within its limits, serves ordinary callers while such clients stay connected, and
// passes on no broken answer. They check nothing that depends on the speed of the machine, and run one at
// a time.
package adversary
