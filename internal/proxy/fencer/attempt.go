package fencer

//go:generate go tool msgp -tests=false -marshal=false -o attempt_gen.go

//msgp:tuple AttemptID

// AttemptID identifies one attempt to run a call at another node.
type AttemptID struct {
	// Sender identifies the sending process.
	Sender uint64
	// Number is the count of the attempts of that process.
	Number uint64
}
