// Package adversary runs a process of tamarackscale-proxy on loopback addresses beside clients that
// spend the process's memory and descriptors. Its tests check that the process lives within its
// limits and serves ordinary callers while such clients stay connected. They check nothing that
// depends on the speed of the machine, and run one at a time.
package adversary
