package fencer

//go:generate go tool msgp -tests=false -marshal=false -o attempt_gen.go

//msgp:tuple HandOver

// HandOver identifies one attempt to run a call at another node.
type HandOver struct {
	// Sender identifies the sending process.
	Sender uint64
	// Number is the count of the attempts of that process.
	Number uint64
}
