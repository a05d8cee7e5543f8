package encoder

//go:generate go tool msgp -tests=false -marshal=false -o message_gen.go

//msgp:tuple Step Message

// Step is one part of a patch: either bytes of the base or new ones.
type Step struct {
	// Offset and Length name bytes of the base; a Length of 0 stands for New.
	Offset int
	Length int
	New    []byte
}

// Message is one version on its way. Either Packed or Steps is set.
type Message struct {
	Version int64
	// Base is the version that Steps refer to.
	Base  int64
	Steps []Step
	// Packed is the whole configuration, compressed.
	Packed []byte
	// Sum is the CRC-32 (IEEE) of the whole configuration.
	Sum uint32
}
