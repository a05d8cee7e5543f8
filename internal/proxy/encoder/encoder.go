// Package encoder makes configurations small for their way between nodes: as a
// patch to a version that the asker has, or whole and compressed. The package is
// pure.
//
// The load it answers: relays whose links are narrow beside the size of a
// configuration, and versions that come several a second and change little.
package encoder

import (
	"bytes"
	"compress/flate"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxVersions is how many versions a history keeps to make patches of.
	maxVersions = 4
	// maxBytes bounds an unpacked configuration.
	maxBytes = 64 << 20
)

// SumError says that a message did not lead to the configuration it stands for.
type SumError struct {
	Version int64
	Base    int64
	Want    uint32
	Got     uint32
}

func (e *SumError) Error() string {
	return fmt.Sprintf("version %d decoded from base %d has the sum %08x instead of %08x", e.Version, e.Base, e.Got, e.Want)
}

type version struct {
	number int64
	data   []byte
}

// History holds the newest versions, in the form in which they were read, the
// latest at the end. It is used under its owner's lock.
type History struct {
	versions []version
	// packed is the compressed form of the latest version, made when it is needed.
	packed []byte
}

// Add takes in a version newer than all before it.
func (h *History) Add(number int64, data []byte) {
	if len(h.versions) == maxVersions {
		h.versions = append(h.versions[:0], h.versions[1:]...)
	}
	h.versions = append(h.versions, version{number, data})
	h.packed = nil
}

// Latest returns the newest version, or 0 and nothing.
func (h *History) Latest() (int64, []byte) {
	if len(h.versions) == 0 {
		return 0, nil
	}
	latest := h.versions[len(h.versions)-1]
	return latest.number, latest.data
}

func (h *History) find(number int64) ([]byte, bool) {
	for _, v := range h.versions {
		if v.number == number {
			return v.data, true
		}
	}
	return nil, false
}

// Encode returns the newest version for an asker that has another one, or 0.
func (h *History) Encode(have int64) (Message, error) {
	number, data := h.Latest()
	m := Message{Version: number, Sum: crc32.ChecksumIEEE(data)}
	if base, known := h.find(have); known {
		m.Base, m.Steps = have, diff(base, data)
		return m, nil
	}
	if h.packed == nil {
		packed, err := pack(data)
		if err != nil {
			return Message{}, errors.Wrapf(err, "compress version %d", number)
		}
		h.packed = packed
	}
	m.Packed = h.packed
	return m, nil
}

// Decode returns the configuration that a message stands for.
func (h *History) Decode(m Message) ([]byte, error) {
	data, err := h.decode(m)
	if err != nil {
		return nil, err
	}
	if sum := crc32.ChecksumIEEE(data); sum != m.Sum {
		return nil, &SumError{Version: m.Version, Base: m.Base, Want: m.Sum, Got: sum}
	}
	return data, nil
}

func (h *History) decode(m Message) ([]byte, error) {
	if m.Packed != nil {
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxBytes))
		return data, errors.Wrapf(err, "decompress version %d", m.Version)
	}
	base, known := h.find(m.Base)
	if !known {
		return nil, errors.Newf("version %d refers to version %d, which is not at hand", m.Version, m.Base)
	}
	var data []byte
	for _, s := range m.Steps {
		if s.Length == 0 {
			data = append(data, s.New...)
			continue
		}
		if s.Offset < 0 || s.Length < 0 || s.Offset > len(base)-s.Length {
			return nil, errors.Newf("version %d refers to bytes outside of version %d", m.Version, m.Base)
		}
		data = append(data, base[s.Offset:s.Offset+s.Length]...)
	}
	return data, nil
}

func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	err = w.Close()
	return packed.Bytes(), err
}

// boundary ends the pieces in which configurations are compared: the end of an
// object in the text that operators write.
const boundary = '}'

// diff returns the steps that lead from base to data.
func diff(base, data []byte) []Step {
	positions := map[string]int{}
	for offset := 0; offset < len(base); {
		length := pieceLength(base[offset:])
		positions[string(base[offset:offset+length])] = offset
		offset += length
	}
	var steps []Step
	for offset := 0; offset < len(data); {
		piece := data[offset : offset+pieceLength(data[offset:])]
		offset += len(piece)
		if last := len(steps) - 1; last >= 0 && steps[last].follows(base, piece) {
			steps[last].Length += len(piece)
			continue
		}
		if position, known := positions[string(piece)]; known {
			steps = append(steps, Step{Offset: position, Length: len(piece)})
			continue
		}
		steps = appendNew(steps, piece)
	}
	return steps
}

func pieceLength(text []byte) int {
	if end := bytes.IndexByte(text, boundary); end >= 0 {
		return end + 1
	}
	return len(text)
}

// follows says whether a piece is what comes next in the base.
func (s Step) follows(base, piece []byte) bool {
	return s.Length > 0 && bytes.HasPrefix(base[s.Offset+s.Length:], piece)
}

func appendNew(steps []Step, piece []byte) []Step {
	if last := len(steps) - 1; last >= 0 && steps[last].Length == 0 {
		steps[last].New = append(steps[last].New, piece...)
		return steps
	}
	return append(steps, Step{New: append([]byte(nil), piece...)})
}
