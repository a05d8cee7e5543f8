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
type Sizes struct {
	Small, Large Purpose
	// Urgency tells whether an input for which these have no memory may take it from the share Urgent; nil
	// if it may not.
	Urgency interface{ IsUrgent() bool }
	// Whole makes an input take its declared length with its first byte, which leaves no garbage. It is for
	// senders on the same VM that end what they declare.
	Whole bool
}

// The sizes of bodies of requests and of answers.
var (
	BodySizes   = Sizes{Small: SmallBodies, Large: Bodies}
	AnswerSizes = Sizes{Small: SmallAnswers, Large: Answers, Whole: true}
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
	b := buffer{memory: r, sizes: sizes, declared: declared, limit: limit}
	var first [1]byte
	for {
		if declared >= 0 && int64(len(b.data)) == declared {
			return b.data, nil
		}
		var (
			n   int
			end error
		)
		if len(b.data) < cap(b.data) {
			n, end = input.Read(b.data[len(b.data):cap(b.data)])
			b.data = b.data[:len(b.data)+n]
		} else if n, end = input.Read(first[:]); n > 0 {
			// The buffer grows only if there is more input. A reader may return its last byte with its end.
			if err := b.append(first[0]); err != nil {
				return b.data, err
			}
		}
		if end != nil {
			return b.data, endOf(end, int64(len(b.data)), declared)
		}
	}
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

// buffer is an input that is being read. Its capacity is reserved for purpose.
type buffer struct {
	memory          *Reservation
	sizes           Sizes
	declared, limit int64
	data            []byte
	purpose         Purpose
}

// append appends a byte to data that fills its capacity.
func (b *buffer) append(last byte) error {
	if int64(len(b.data)) >= b.limit {
		return ErrTooLong
	}
	former := int64(cap(b.data))
	capacity := b.declared
	if !b.sizes.Whole || capacity < 0 {
		capacity = nextCapacity(former, b.declared, b.limit)
	}
	purpose, ok := b.reserve(capacity)
	if !ok {
		return ErrFull
	}
	b.data = append(append(make([]byte, 0, capacity), b.data...), last)
	b.memory.Shrink(b.purpose, former)
	b.purpose = purpose
	return nil
}

// reserve reserves n bytes and returns for which purpose.
func (b *buffer) reserve(n int64) (Purpose, bool) {
	purpose := b.sizes.Of(n)
	if b.memory.Grow(purpose, n) {
		return purpose, true
	}
	urgent := b.sizes.Urgency != nil && b.sizes.Urgency.IsUrgent()
	return Urgent, urgent && b.memory.Grow(Urgent, n)
}
