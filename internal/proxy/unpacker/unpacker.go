// Package unpacker decodes arrays in messages between nodes. The generated code would
// allocate the whole array that a message declares before it reads the first element. This
// package allocates with the elements that arrive, so that a malformed message costs no more
// memory than a small multiple of its bytes.
package unpacker

import (
	"fmt"
	"io"
	"math"

	"github.com/tinylib/msgp/msgp"
)

// firstElements is the number of elements for which memory is allocated on the declaration
// alone. Most arrays, such as the header fields of a call, have no more.
const firstElements = 16

// LengthError reports a value that declares more elements or bytes than allowed.
type LengthError struct{ Declared, Limit uint32 }

func (e *LengthError) Error() string {
	return fmt.Sprintf("value of length %d exceeds the limit of %d", e.Declared, e.Limit)
}

// DecodeArray decodes an array into the memory of into, or into new memory if that does not
// suffice. An empty array leaves a nil slice nil.
func DecodeArray[T any, P interface {
	*T
	msgp.Decodable
}](reader *msgp.Reader, into []T) ([]T, error) {
	return DecodeBoundedArray[T, P](reader, into, math.MaxUint32)
}

// DecodeBoundedArray does the same, and fails after limit elements. Each may cost many times its bytes.
func DecodeBoundedArray[T any, P interface {
	*T
	msgp.Decodable
}](reader *msgp.Reader, into []T, limit uint32) ([]T, error) {
	length, err := reader.ReadArrayHeader()
	if err != nil {
		return nil, msgp.WrapError(err)
	}
	if first := min(int(length), firstElements); first > cap(into) {
		into = make([]T, 0, first)
	}
	into = into[:0]
	var empty T
	for i := range int(length) {
		if uint32(i) == limit {
			return nil, &LengthError{length, limit}
		}
		into = append(into, empty)
		if err := P(&into[i]).DecodeMsg(reader); err != nil {
			return nil, msgp.WrapError(err, i)
		}
	}
	return into, nil
}

// Bytes is a byte string for which memory is allocated as it arrives. A message that declares one of
// megabytes and ends would take them otherwise.
type Bytes []byte

const (
	// firstBytes is allocated for a byte string on its declaration alone.
	firstBytes = 16 << 10
	// byteGrowth is the factor by which its memory grows. What is allocated exceeds what has arrived, which
	// the connection has reserved, by no more than that.
	byteGrowth = 2
)

// DecodeMsg implements msgp.Decodable.
func (b *Bytes) DecodeMsg(reader *msgp.Reader) error {
	declared, err := reader.ReadBytesHeader()
	if err != nil {
		return msgp.WrapError(err)
	}
	if limit := reader.GetMaxElements(); declared > limit {
		return &LengthError{declared, limit}
	}
	length := int(declared)
	data := (*b)[:0]
	for len(data) < length {
		if len(data) == cap(data) || cap(data) > length {
			next := min(max(byteGrowth*cap(data), firstBytes), length)
			data = append(make([]byte, 0, next), data...)
		}
		n, err := io.ReadFull(reader, data[len(data):min(cap(data), length)])
		data = data[:len(data)+n]
		if err != nil {
			return msgp.WrapError(err)
		}
	}
	*b = data
	return nil
}

// EncodeMsg implements msgp.Encodable.
func (b Bytes) EncodeMsg(writer *msgp.Writer) error { return writer.WriteBytes(b) }

// Msgsize implements msgp.Sizer.
func (b Bytes) Msgsize() int { return msgp.BytesPrefixSize + len(b) }

// EncodeArray encodes an array like the generated code.
func EncodeArray[T any, P interface {
	*T
	msgp.Encodable
}](writer *msgp.Writer, array []T) error {
	if err := writer.WriteArrayHeader(uint32(len(array))); err != nil {
		return msgp.WrapError(err)
	}
	for i := range array {
		if err := P(&array[i]).EncodeMsg(writer); err != nil {
			return msgp.WrapError(err, i)
		}
	}
	return nil
}

// Size returns an upper bound of the bytes of an encoded array, like the generated code.
func Size[T any, P interface {
	*T
	msgp.Sizer
}](array []T) int {
	size := msgp.ArrayHeaderSize
	for i := range array {
		size += P(&array[i]).Msgsize()
	}
	return size
}
