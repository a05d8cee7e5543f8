package encoder

//go:generate go tool msgp -tests=false -marshal=false -o message_gen.go

//msgp:tuple Step Message

// Step is one step of a patch. It appends either a range of the base or new bytes.
type Step struct {
	// Offset and Length are a range of the base in bytes. If Length is 0, the step
	// appends New.
	Offset int
	Length int
	New    []byte
}

// Message is one encoded version. Either Packed or Steps is set.
type Message struct {
	Version int64
	// Base is the version to which Steps apply.
	Base  int64
	Steps []Step
	// Packed is the whole configuration, compressed with DEFLATE.
	Packed []byte
	// Sum is the CRC-32 (IEEE) of the whole configuration.
	Sum uint32
}
