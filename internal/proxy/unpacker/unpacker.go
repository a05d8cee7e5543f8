// Package unpacker decodes arrays in messages between nodes. The generated code would
// allocate the whole array that a message declares before it reads the first element. This
// package allocates with the elements that arrive, so that a malformed message costs no more
// memory than a small multiple of its bytes.
package unpacker

import "github.com/tinylib/msgp/msgp"

// firstElements is the number of elements for which memory is allocated on the declaration
// alone. Most arrays, such as the header fields of a call, have no more.
const firstElements = 16

// DecodeArray decodes an array into the memory of into, or into new memory if that does not
// suffice. An empty array leaves a nil slice nil.
func DecodeArray[T any, P interface {
	*T
	msgp.Decodable
}](reader *msgp.Reader, into []T) ([]T, error) {
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
		into = append(into, empty)
		if err := P(&into[i]).DecodeMsg(reader); err != nil {
			return nil, msgp.WrapError(err, i)
		}
	}
	return into, nil
}

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
