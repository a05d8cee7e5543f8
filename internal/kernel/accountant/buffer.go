package accountant

import (
	"errors"
	"io"
)

// ErrFull reports that memory could not be reserved.
var ErrFull = errors.New("memory for this purpose is in use")

// ErrTooLong reports that an input is longer than its limit.
var ErrTooLong = errors.New("input exceeds its size limit")

const (
	// arrivedFraction of a declared length must have arrived before memory for the whole is reserved.
	arrivedFraction = 16
	// growthKnown and growthUnknown are the factors by which a buffer grows before that.
	growthKnown   = 8
	growthUnknown = 2
)

// Sizes are the purposes of small and of large inputs.
type Sizes struct{ Small, Large Purpose }

// The sizes of bodies of requests and of answers.
var (
	BodySizes   = Sizes{Small: SmallBodies, Large: Bodies}
	AnswerSizes = Sizes{Small: SmallAnswers, Large: Answers}
)

// Of returns the purpose of an input of n bytes.
func (s Sizes) Of(n int64) Purpose {
	if n <= SmallBytes {
		return s.Small
	}
	return s.Large
}

// nextCapacity returns the capacity of a buffer that is full. Declared is the length of the whole input,
// -1 if it is not known.
func nextCapacity(capacity, declared, limit int64) int64 {
	if declared < 0 {
		return min(max(growthUnknown*capacity, SmallBytes), limit)
	}
	next := max(growthKnown*capacity, SmallBytes)
	if next >= declared || capacity*arrivedFraction >= declared {
		return declared
	}
	return next
}

// ReadAll reads r to its end into memory that is reserved before it is allocated, as the input arrives. A
// declared length, -1 if there is none, costs nothing by itself. It returns ErrTooLong if there are more
// than limit bytes, ErrFull if memory lacks, io.ErrUnexpectedEOF if the input ends before its declared
// length, or the error of r. What it has reserved is held by the reservation in each case.
func (r *Reservation) ReadAll(input io.Reader, sizes Sizes, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLong
	}
	var (
		data  []byte
		first [1]byte
	)
	for {
		if declared >= 0 && int64(len(data)) == declared {
			return data, nil
		}
		if len(data) < cap(data) {
			n, err := input.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if err != nil {
				return data, endOf(err, int64(len(data)), declared)
			}
			continue
		}
		// The buffer grows only if there is more input. A reader may return its last byte with its end.
		n, end := input.Read(first[:])
		if n > 0 {
			var err error
			if data, err = r.appendFirst(data, first[0], sizes, declared, limit); err != nil {
				return data, err
			}
		}
		if end != nil {
			return data, endOf(end, int64(len(data)), declared)
		}
	}
}

// appendFirst appends a byte to data that fills its buffer.
func (r *Reservation) appendFirst(data []byte, b byte, sizes Sizes, declared, limit int64) ([]byte, error) {
	if int64(len(data)) >= limit {
		return data, ErrTooLong
	}
	grown, err := r.grow(data, sizes, nextCapacity(int64(cap(data)), declared, limit))
	if err != nil {
		return data, err
	}
	return append(grown, b), nil
}

// endOf returns the error of an input that has ended after n bytes; nil if that is its end.
func endOf(err error, n, declared int64) error {
	switch {
	case err != io.EOF:
		return err
	case declared >= 0 && n < declared:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}

// grow returns the data in a buffer of the given capacity.
func (r *Reservation) grow(data []byte, sizes Sizes, capacity int64) ([]byte, error) {
	if !r.Grow(sizes.Of(capacity), capacity) {
		return data, ErrFull
	}
	former := int64(cap(data))
	grown := append(make([]byte, 0, capacity), data...)
	r.Shrink(sizes.Of(former), former)
	return grown, nil
}
