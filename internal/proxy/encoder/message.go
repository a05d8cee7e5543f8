package encoder

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/unpacker"
)

//go:generate go tool msgp -tests=false -marshal=false -o message_gen.go

//msgp:tuple Step Message
//msgp:ignore Steps

// Step is one step of a patch. It appends either a range of the base or new bytes.
type Step struct {
	// Offset and Length are a range of the base in bytes. If Length is 0, the step
	// appends Literal.
	Offset  int
	Length  int
	Literal []byte
}

// Steps is a whole patch.
type Steps []Step

// DecodeMsg implements msgp.Decodable.
func (s *Steps) DecodeMsg(reader *msgp.Reader) (err error) {
	*s, err = unpacker.DecodeArray(reader, *s)
	return err
}

// EncodeMsg implements msgp.Encodable.
func (s Steps) EncodeMsg(writer *msgp.Writer) error { return unpacker.EncodeArray(writer, s) }

// Msgsize implements msgp.Sizer.
func (s Steps) Msgsize() int { return unpacker.Size(s) }

// Message is one encoded version, either as a patch (Base and Steps) or as the whole
// configuration (Compressed).
type Message struct {
	Version int64
	// Base is the version to which Steps apply.
	Base  int64
	Steps Steps
	// Compressed is the whole configuration, compressed with DEFLATE; nil in a patch.
	Compressed []byte
	// Checksum is the CRC-32 (IEEE) of the whole configuration.
	Checksum uint32
}
