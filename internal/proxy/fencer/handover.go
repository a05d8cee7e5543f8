package fencer

//go:generate go tool msgp -tests=false -marshal=false -o handover_gen.go

//msgp:tuple HandOver

// HandOver names one hand-over: the sending process and its count.
type HandOver struct {
	Sender uint64
	Number uint64
}
