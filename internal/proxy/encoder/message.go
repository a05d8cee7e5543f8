package encoder

//go:generate go tool msgp -tests=false -marshal=false -o message_gen.go

//msgp:tuple Step Message

// Step is one step of a patch. It appends either a range of the base or new bytes.
type Step struct {
	// Offset and Length are a range of the base in bytes. If Length is 0, the step
	// appends Literal.
	Offset  int
	Length  int
	Literal []byte
}

// Message is one encoded version, either as a patch (Base and Steps) or as the whole
// configuration (Compressed).
type Message struct {
	Version int64
	// Base is the version to which Steps apply.
	Base  int64
	Steps []Step
	// Compressed is the whole configuration, compressed with DEFLATE; nil in a patch.
	Compressed []byte
	// Checksum is the CRC-32 (IEEE) of the whole configuration.
	Checksum uint32
}
